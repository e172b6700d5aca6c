import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallerCommandKind } from "../../callerSessions/types/CallerCommandKind.js";
import type { CallerConnection } from "../../callerSessions/types/CallerConnection.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { StatementKind } from "../../statements/types/StatementKind.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { forwardingConstants } from "../constants.js";
import { createSessionHost } from "./index.js";

const statement = { kind: StatementKind.Read, text: "READ a" } as const;

function createSite(serveCommand: (connection: CallerConnection, kind: CallerCommandKind) => void) {
    const clock = createManualClock();
    const site = { version: 3, closed: 0 };
    const host = createSessionHost({
        clock,
        serve: connection => {
            connection.onCommand(({ kind }) => serveCommand(connection, kind));
            connection.onClose(() => {
                site.closed += 1;
            });
        },
        routingVersion: () => site.version,
        applyRoutingTable: ({ version }) => {
            site.version = Math.max(site.version, version);
        },
        log: () => {},
    });
    return { clock, site, host };
}

function answer(connection: CallerConnection, kind: CallerCommandKind): void {
    if (kind === CallerCommandKind.Open) {
        connection.sendReady(SessionState.Idle, undefined);
    }
    else {
        connection.sendSuccess({ rows: ["data"], signature: "s1", state: SessionState.Idle });
    }
}

const first = { sessionKey: "vm-2-1", database: "shop", id: "q1", statement, routingVersion: 3 };
const next = { ...first, database: undefined, id: "q2" };

describe("createSessionHost", () => {
    it("opens a session with its first statement, and serves it until its connection ends", async () => {
        const { site, host } = createSite(answer);
        const connection = new AbortController();
        const answered = await host.run(first, connection.signal);
        assert.deepEqual(answered, { rows: ["data"], signature: "s1", state: SessionState.Idle, routingVersion: 3 });
        await host.run(next, connection.signal);
        assert.equal(host.count(), 1);
        connection.abort();
        assert.equal(site.closed, 1);
        assert.equal(host.count(), 0);
        await assert.rejects(host.run(next, new AbortController().signal), /closed/);
    });

    it("applies the newer routing table that comes with a statement, and doesn't wait for it from elsewhere", async () => {
        const { site, host } = createSite(answer);
        const connection = new AbortController();
        const routingTable = { version: 5, routes: [], groups: [], idleTransactionMilliseconds: 1 };
        const answered = await host.run({ ...first, routingVersion: 5, routingTable }, connection.signal);
        assert.equal(answered.failure, undefined);
        assert.equal(answered.routingVersion, 5);
        assert.equal(site.version, 5);
    });

    it("closes the sessions that the forwarding VM reports as ended", async () => {
        const { site, host } = createSite(answer);
        const { signal } = new AbortController();
        await host.run(first, signal);
        await host.run({ ...first, sessionKey: "vm-2-2", closedKeys: ["vm-2-1", "unknown"] }, signal);
        assert.deepEqual([site.closed, host.count()], [1, 1]);
        host.close(["vm-2-2"]);
        assert.deepEqual([site.closed, host.count()], [2, 0]);
    });

    it("waits for the forwarding VM's routing table, and refuses the statement when it does not arrive", async () => {
        const { clock, site, host } = createSite(answer);
        const { signal } = new AbortController();
        const waited = host.run({ ...first, routingVersion: 4 }, signal);
        await clock.advance(100);
        site.version = 4;
        await clock.advance(100);
        assert.equal((await waited).failure, undefined);
        const refused = host.run({ ...next, routingVersion: 5 }, signal);
        await clock.advance(forwardingConstants.routingTimeoutMilliseconds + 100);
        assert.equal((await refused).failure?.code, FailureCode.Busy);
    });

    it("reports a statement in flight as possibly run when the session is closed, and the session as closed", async () => {
        const { host } = createSite((connection, kind) =>
            kind === CallerCommandKind.Open ? answer(connection, kind) : connection.close()
        );
        const connection = new AbortController();
        const closed = host.watchClosed(connection.signal, undefined);
        assert.deepEqual((await closed.next()).value, []);
        await assert.rejects(
            host.run(first, connection.signal),
            error => toTypedError(error).kind === ErrorKind.ConnectionClosed,
        );
        assert.deepEqual((await closed.next()).value, ["vm-2-1"]);
        const over = closed.next();
        connection.abort();
        assert.equal((await over).done, true);
    });

    it("opens no session when it is refused, or for a connection that has ended", async () => {
        const { host } = createSite(connection =>
            connection.refuse({ code: FailureCode.UnknownDatabase, description: "no route leads to it" })
        );
        const isNotRun = (error: unknown): boolean => toTypedError(error).kind === ErrorKind.NotFound;
        await assert.rejects(host.run(first, new AbortController().signal), isNotRun);
        await assert.rejects(host.run(first, AbortSignal.abort()), isNotRun);
        assert.equal(host.count(), 0);
    });
});
