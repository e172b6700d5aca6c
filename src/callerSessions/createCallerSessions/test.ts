import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { StatementKind } from "../../statements/types/StatementKind.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createSessionServices } from "../../testing/createSessionServices/index.js";
import { callerSessionConstants } from "../constants.js";
import type { CallerCommand } from "../types/CallerCommand.js";
import { CallerCommandKind } from "../types/CallerCommandKind.js";
import type { CallerConnection } from "../types/CallerConnection.js";
import { createCallerSessions } from "./index.js";

const graceMilliseconds = 6_000;
const begin: CallerCommand = {
    kind: CallerCommandKind.Run,
    id: "q1",
    statement: { kind: StatementKind.Begin, text: "BEGIN", isReadOnly: false },
};
const read: CallerCommand = {
    kind: CallerCommandKind.Run,
    id: "q2",
    statement: { kind: StatementKind.Read, text: "READ a" },
};

function createSite(hasNewestRoutes = () => true) {
    const clock = createManualClock();
    const sessions = createCallerSessions(createSessionServices(clock, []), {
        graceMilliseconds,
        hasNewestRoutes,
    });

    async function open(database = "shop") {
        const sent: string[] = [];
        let deliver: (command: CallerCommand) => void = () => {};
        let leave = (): void => {};
        const connection: CallerConnection = {
            onCommand: listener => {
                deliver = listener;
            },
            onClose: listener => {
                leave = listener;
            },
            sendReady: state => sent.push(`ready ${state}`),
            sendSuccess: ({ state }) => sent.push(`success ${state}`),
            sendFailure: ({ code }, state) => sent.push(`${code} ${state}`),
            refuse: ({ code }) => sent.push(`refused ${code}`),
            close: () => {
                sent.push("closed");
                leave();
            },
        };
        sessions.serve(connection);
        const run = async (command: CallerCommand): Promise<void> => {
            deliver(command);
            await clock.advance(0);
        };
        await run({ kind: CallerCommandKind.Open, database });
        return { sent, run };
    }

    return { clock, sessions, open };
}

describe("createCallerSessions", () => {
    it("keeps idle sessions open until new connections go to other VMs, then closes them", async () => {
        const { clock, sessions, open } = createSite();
        const { sent, run } = await open();
        const stopped = sessions.closeAll();
        await clock.advance(callerSessionConstants.idleCloseDelayMilliseconds - 100);
        assert.equal(sent.includes("closed"), false);
        await run(read);
        assert.equal(sent.at(-1), `${FailureCode.Busy} ${SessionState.Idle}`);
        await clock.advance(200);
        assert.equal(sent.at(-1), "closed");
        await stopped;
    });

    it("lets an open transaction run for half of the grace time", async () => {
        const { clock, sessions, open } = createSite();
        const { sent, run } = await open();
        await run(begin);
        const stopped = sessions.closeAll();
        await clock.advance(callerSessionConstants.transactionGraceShare * graceMilliseconds - 100);
        assert.equal(sent.at(-1), `success ${SessionState.InTransaction}`);
        await clock.advance(200);
        assert.equal(sent.at(-1), "closed");
        await stopped;
    });

    it("rolls back a transaction that is idle for too long, and reports it with the next statement", async () => {
        const { clock, open } = createSite();
        const { sent, run } = await open();
        await run(begin);
        await clock.advance(3_100);
        await run(read);
        assert.equal(sent.at(-1), `${FailureCode.Aborted} ${SessionState.FailedTransaction}`);
    });

    it("refuses a session for an unknown database and closes the connection", async () => {
        const { open } = createSite();
        const { sent } = await open("nowhere");
        assert.equal(sent[0], `refused ${FailureCode.UnknownDatabase}`);
        assert.equal(sent.at(-1), "closed");
    });

    it("refuses a database that may be missing from a restored store only once other VMs' routes are known", async () => {
        let hasNewestRoutes = false;
        const { clock, open } = createSite(() => hasNewestRoutes);
        const { sent } = await open("unknown");
        await clock.advance(500);
        assert.deepEqual(sent, []);
        hasNewestRoutes = true;
        await clock.advance(callerSessionConstants.directoryPollingMilliseconds);
        assert.equal(sent[0], `refused ${FailureCode.UnknownDatabase}`);
    });

    it("opens a session for a known database although other VMs' routes are not known", async () => {
        const { sent } = await createSite(() => false).open();
        assert.deepEqual(sent, [`ready ${SessionState.Idle}`]);
    });
});
