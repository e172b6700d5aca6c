import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { RoutingTable } from "../../directory/types/RoutingTable.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { Statement } from "../../statements/types/Statement.js";
import { StatementKind } from "../../statements/types/StatementKind.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createRoute } from "../../testing/createRoute/index.js";
import { createSessionServices } from "../../testing/createSessionServices/index.js";
import { workspaceConstants } from "../../workspaces/constants.js";
import { digestKey } from "../../workspaces/digestKey/index.js";
import { admitSession } from "../admitSession/index.js";
import { createCallerSession } from "./index.js";

const key = "v3nax7u27gxprymh2rry";
const read: Statement = { kind: StatementKind.Read, text: "READ 1" };
const begin: Statement = { kind: StatementKind.Begin, text: "BEGIN", isReadOnly: false };

function createTable(version: number, holders: Readonly<Record<string, readonly string[]>>): RoutingTable {
    return {
        version,
        routes: [createRoute(), createRoute({ database: "catalogue", isOpen: true })],
        groups: [{ group: "orders", connectionLimit: 10, synchronousReplicas: 0 }],
        workspaces: Object.entries(holders).map(([name, keys]) => ({
            name,
            keyDigests: keys.map(digestKey),
            priority: 0,
        })),
        idleTransactionMilliseconds: 1_000,
    };
}

function createSite(database = "shop") {
    const clock = createManualClock();
    const owners: (string | undefined)[] = [];
    const lines: string[] = [];
    const base = createSessionServices(clock, []);
    const services = createSessionServices(clock, [], {
        placement: {
            ...base.placement,
            acquire: async ({ owner }) => {
                owners.push(owner);
                throw new Error("no endpoint");
            },
        },
        log: (message, fields) => lines.push(JSON.stringify([message, fields])),
    });
    services.directory.applyRoutingTable(createTable(11, { museums: [key] }));
    const sent: string[] = [];
    const opening = { database, keyDigest: digestKey(key) };
    const session = createCallerSession(
        {
            onCommand: () => {},
            onClose: () => {},
            sendReady: () => {},
            sendSuccess: ({ state }) => sent.push(`success ${state}`),
            sendFailure: ({ code }, state) => sent.push(`${code} ${state}`),
            refuse: () => {},
            close: () => {},
        },
        opening,
        services,
    );
    const admit = () => admitSession(opening, { ...services, stop: services.stop, hasNewestRoutes: () => true });
    const handle = (statement: Statement) => session.handle({ id: "q1", statement, receivedAt: clock.now() });
    return { clock, services, session, sent, owners, lines, admit, handle };
}

describe("createCallerSession", () => {
    it("runs statements in the name of the workspace that holds the key", async () => {
        const { owners, admit, handle } = createSite();
        assert.equal(await admit(), undefined);
        await handle(read);
        assert.deepEqual(owners, ["museums"]);
    });

    it("refuses a key that no workspace holds", async () => {
        const { services, admit } = createSite();
        services.directory.applyRoutingTable(createTable(12, { museums: ["another"] }));
        assert.equal((await admit())?.code, FailureCode.UnknownKey);
    });

    it("refuses the next statement after a key was withdrawn, and is over", async () => {
        const { services, session, sent, owners, handle } = createSite();
        services.directory.applyRoutingTable(createTable(12, { museums: [] }));
        await handle(read);
        assert.deepEqual(sent, [`${FailureCode.UnknownKey} ${SessionState.Idle}`]);
        assert.deepEqual(owners, []);
        assert.equal(session.isOver(), true);
    });

    it("rolls back an open transaction when its key is withdrawn or passes to another workspace", async () => {
        const changes: readonly Record<string, string[]>[] = [{ museums: [] }, { museums: [], schools: [key] }];
        for (const holders of changes) {
            const { services, session, sent, handle } = createSite();
            await handle(begin);
            services.directory.applyRoutingTable(createTable(12, holders));
            await handle({ kind: StatementKind.Commit, text: "COMMIT" });
            assert.deepEqual(sent, [
                `success ${SessionState.InTransaction}`,
                `${FailureCode.UnknownKey} ${SessionState.Idle}`,
            ]);
            assert.equal(session.isInTransaction(), false);
        }
    });

    it("serves an open route without a key, in no workspace's name", async () => {
        const { services, owners, admit, handle } = createSite("catalogue");
        services.directory.applyRoutingTable(createTable(12, { museums: [] }));
        assert.equal(await admit(), undefined);
        await handle(read);
        assert.deepEqual(owners, [workspaceConstants.anonymousOwner]);
    });

    it("logs neither a key nor its digest", async () => {
        const { services, lines, admit, handle } = createSite();
        await handle(read);
        services.directory.applyRoutingTable(createTable(12, { museums: [] }));
        await handle(read);
        await admit();
        assert.ok(lines.length > 0);
        assert.ok(lines.every(line => !line.includes(key) && !line.includes(digestKey(key))));
    });
});
