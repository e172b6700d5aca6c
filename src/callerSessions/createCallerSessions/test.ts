import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { AcquiredConnection } from "../../placement/types/AcquiredConnection.js";
import type { PlacementRequest } from "../../placement/types/PlacementRequest.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import { StatementKind } from "../../statements/types/StatementKind.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createSessionServices } from "../../testing/createSessionServices/index.js";
import { createSlowEndpointServices } from "../../testing/createSlowEndpointServices/index.js";
import { createWaiter } from "../../waiting/createWaiter/index.js";
import { callerSessionConstants } from "../constants.js";
import type { CallerCommand } from "../types/CallerCommand.js";
import { CallerCommandKind } from "../types/CallerCommandKind.js";
import type { CallerConnection } from "../types/CallerConnection.js";
import type { SessionServices } from "../types/SessionServices.js";
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

const commit: CallerCommand = {
    kind: CallerCommandKind.Run,
    id: "q3",
    statement: { kind: StatementKind.Commit, text: "COMMIT" },
};
const write: CallerCommand = {
    kind: CallerCommandKind.Run,
    id: "q4",
    statement: { kind: StatementKind.Write, text: "WRITE a b" },
};

type ManualClock = ReturnType<typeof createManualClock>;

/** Creates services with which each statement waits for a connection until its time limit or a stop ends the wait. */
function createServicesWithoutConnection(clock: ManualClock) {
    const acquire = ({ expiresAt, signal }: PlacementRequest) =>
        createWaiter<AcquiredConnection>({
            clock,
            timeoutMilliseconds: expiresAt - clock.now(),
            signal,
            createTimeoutError: () => new Error("no connection"),
        }).promise;
    return createSessionServices(clock, [], {
        placement: { ...createSessionServices(clock, []).placement, acquire },
    });
}

function createSite(
    hasNewestRoutes = () => true,
    createServices: (clock: ManualClock) => SessionServices = clock => createSessionServices(clock, []),
) {
    const clock = createManualClock();
    const sessions = createCallerSessions(createServices(clock), {
        graceMilliseconds,
        hasNewestRoutes,
    });

    async function open(database = "shop", keyDigest = "digest") {
        const sent: string[] = [];
        let deliver: (command: CallerCommand, bytes: number) => void = () => {};
        let leave = (): void => {};
        const undelivered: CallerCommand[] = [];
        const connection: CallerConnection = {
            flow: {
                onHeldBytes: () => {},
                pause: () => {},
                resume: () => {},
                deliverNext: () => {
                    const command = undelivered.shift();
                    if (command !== undefined) {
                        deliver(command, 0);
                    }
                    return command !== undefined;
                },
                discard: () => {},
                disconnect: () => {},
            },
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
            deliver(command, 0);
            await clock.advance(0);
        };
        await run({ kind: CallerCommandKind.Open, database, keyDigest });
        return { sent, run, undelivered };
    }

    return { clock, sessions, open };
}

describe("createCallerSessions", () => {
    it("keeps idle sessions open until new connections go to other VMs, then closes them", async () => {
        const { clock, sessions, open } = createSite();
        const { sent, run } = await open();
        const stopped = sessions.closeAll(Promise.resolve());
        await clock.advance(callerSessionConstants.idleCloseDelayMilliseconds - 100);
        assert.equal(sent.includes("closed"), false);
        await run(read);
        assert.equal(sent.at(-1), `${FailureCode.Busy} ${SessionState.Idle}`);
        await clock.advance(200);
        assert.equal(sent.at(-1), "closed");
        await clock.advance(graceMilliseconds);
        await stopped;
    });

    it("lets an open transaction run for half of the grace time, and reports it once it is rolled back", async () => {
        const { clock, sessions, open } = createSite();
        const { sent, run } = await open();
        await run(begin);
        const stopped = sessions.closeAll(Promise.resolve());
        await clock.advance(graceMilliseconds / 2);
        assert.equal(sent.at(-1), `success ${SessionState.InTransaction}`);
        await clock.advance(1_000);
        await run(commit);
        assert.deepEqual(sent.slice(-2), [`${FailureCode.Aborted} ${SessionState.Idle}`, "closed"]);
        await clock.advance(graceMilliseconds);
        await stopped;
    });

    it("lets a transaction end that began during the stop", async () => {
        const { clock, sessions, open } = createSite(undefined, clock => createSlowEndpointServices(clock, 20));
        const { sent, run } = await open();
        const stopped = sessions.closeAll(Promise.resolve());
        await clock.advance(2_250);
        await run(begin);
        await clock.advance(1_000);
        await run(commit);
        await clock.advance(100);
        assert.deepEqual(sent.slice(-2), [`success ${SessionState.Idle}`, "closed"]);
        await clock.advance(graceMilliseconds);
        await stopped;
    });

    it("closes a busy session with the answer to its statement, before its caller sends the next", async () => {
        const { clock, sessions, open } = createSite(undefined, clock => createSlowEndpointServices(clock, 20));
        const { sent, run } = await open();
        const stopped = sessions.closeAll(Promise.resolve());
        const countAnswers = (): number => sent.filter(text => text.startsWith("success")).length;
        await run(read);
        for (let elapsed = 0; elapsed < graceMilliseconds && !sent.includes("closed"); elapsed += 1) {
            const answers = countAnswers();
            await clock.advance(1);
            if (countAnswers() > answers && !sent.includes("closed")) {
                await run(read);
            }
        }
        assert.deepEqual(sent.slice(-2), [`success ${SessionState.Idle}`, "closed"]);
        assert.ok(clock.now() < graceMilliseconds / 2);
        await clock.advance(graceMilliseconds);
        await stopped;
    });

    it("refuses a statement that only waits, so that its caller may send it elsewhere", async () => {
        const { clock, sessions, open } = createSite(undefined, createServicesWithoutConnection);
        const { sent, run } = await open();
        const stopped = sessions.closeAll(Promise.resolve());
        await clock.advance(2_000);
        await run(write);
        await clock.advance(2_000);
        assert.deepEqual(sent.slice(-2), [`${FailureCode.Busy} ${SessionState.Idle}`, "closed"]);
        await clock.advance(graceMilliseconds);
        await stopped;
    });

    for (
        const { title, before, command, code } of [
            { title: "a write", before: [], command: write, code: FailureCode.OutcomeUnknown },
            { title: "a read", before: [], command: read, code: FailureCode.Aborted },
            { title: "a read in a transaction", before: [begin], command: read, code: FailureCode.Aborted },
        ]
    ) {
        it(`answers ${title} that an endpoint still runs at the end of the stop`, async () => {
            const { clock, sessions, open } = createSite(undefined, clock => createSlowEndpointServices(clock, 60_000));
            const { sent, run } = await open();
            const stopped = sessions.closeAll(Promise.resolve());
            await clock.advance(2_000);
            for (const earlier of before) {
                await run(earlier);
            }
            await run(command);
            await run(command);
            await clock.advance(graceMilliseconds - 2_000);
            const queued = before.length > 0 ? FailureCode.Aborted : FailureCode.Busy;
            assert.deepEqual(sent.slice(-3), [
                `${code} ${SessionState.Idle}`,
                `${queued} ${SessionState.Idle}`,
                "closed",
            ]);
            await clock.advance(graceMilliseconds);
            await stopped;
        });
    }

    it("serves the first statement of a session that is opened late, and refuses what comes too late to end", async () => {
        const { clock, sessions, open } = createSite(undefined, clock => createSlowEndpointServices(clock, 20));
        const stopped = sessions.closeAll(clock.sleep(4_000));
        await clock.advance(2_500);
        const early = await open();
        await early.run(read);
        await clock.advance(60);
        assert.deepEqual(early.sent.slice(-2), [`success ${SessionState.Idle}`, "closed"]);
        const late = await open();
        await clock.advance(300);
        await late.run(begin);
        assert.deepEqual(late.sent.slice(-2), [`${FailureCode.Busy} ${SessionState.Idle}`, "closed"]);
        const tooLate = await open();
        assert.equal(tooLate.sent[0], `refused ${FailureCode.Busy}`);
        await clock.advance(graceMilliseconds);
        await stopped;
    });

    it("looks after sessions that are opened while other work keeps the VM, and opens none after the stop", async () => {
        const { clock, sessions, open } = createSite(undefined, clock => createSlowEndpointServices(clock, 20));
        const stopped = sessions.closeAll(clock.sleep(5_300));
        await clock.advance(2_500);
        const { sent, run } = await open();
        await run(begin);
        await clock.advance(2_700);
        assert.deepEqual(sent.slice(2, 4), [`refused ${FailureCode.Aborted}`, "closed"]);
        await clock.advance(200);
        await stopped;
        assert.equal((await open()).sent[0], `refused ${FailureCode.Busy}`);
    });

    it("opens no session after a stop that has ended early", async () => {
        const { clock, sessions, open } = createSite();
        const stopped = sessions.closeAll(Promise.resolve());
        await clock.advance(2_400);
        await stopped;
        assert.equal((await open()).sent[0], `refused ${FailureCode.Busy}`);
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

    it("answers at the end of a stop what a paused connection had received behind a running statement", async () => {
        const { clock, sessions, open } = createSite(() => true, manual => createSlowEndpointServices(manual, 60_000));
        const { sent, run, undelivered } = await open();
        await run(write);
        undelivered.push(write, read);
        const stopped = sessions.closeAll(Promise.resolve());
        await clock.advance(graceMilliseconds);
        await stopped;
        const refusals = [`${FailureCode.Busy} ${SessionState.Idle}`, `${FailureCode.Busy} ${SessionState.Idle}`];
        assert.deepEqual(sent.slice(-4), [`${FailureCode.OutcomeUnknown} ${SessionState.Idle}`, ...refusals, "closed"]);
    });
});
