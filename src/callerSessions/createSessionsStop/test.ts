import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SessionState } from "../../statements/types/SessionState.js";
import { StatementKind } from "../../statements/types/StatementKind.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createGracefulStop } from "../createGracefulStop/index.js";
import { CallerCommandKind } from "../types/CallerCommandKind.js";
import type { OpenSession } from "../types/OpenSession.js";
import type { RunCommand } from "../types/RunCommand.js";
import { StopOutcome } from "../types/StopOutcome.js";
import { createSessionsStop } from "./index.js";

const graceMilliseconds = 6_000;
const write: RunCommand = {
    kind: CallerCommandKind.Run,
    id: "q1",
    statement: { kind: StatementKind.Write, text: "WRITE a b" },
};

/** Creates a session with one statement that runs and one that is queued, and never ends by itself. */
function createBusySession(state: SessionState, onClose: (open: OpenSession) => void): OpenSession {
    const queued = [{ command: write, receivedAt: 0, bytes: 0 }];
    const open: OpenSession = {
        connection: {
            onCommand: () => {},
            onClose: () => {},
            sendReady: () => {},
            sendSuccess: () => {},
            sendFailure: () => {},
            refuse: () => {},
            close: () => onClose(open),
        },
        connectedAt: 0,
        unfinished: 2,
        running: write,
        hasAnswered: true,
        isRefused: false,
        isAborted: false,
        isCutOff: false,
        callerSession: {
            isInTransaction: () => state !== SessionState.Idle,
            handle: async () => {},
            abandonTransaction: () => {},
            isOver: () => false,
            end: () => {},
        },
        drain: () => queued.splice(0),
    };
    return open;
}

describe("createSessionsStop", () => {
    it("logs at its end how the statements ended that were received during the stop", async () => {
        const clock = createManualClock();
        const sessions = new Set<OpenSession>();
        const lines: { readonly message: string; readonly fields?: Readonly<Record<string, unknown>>; }[] = [];
        const sessionsStop = createSessionsStop({
            clock,
            stop: createGracefulStop(clock, graceMilliseconds),
            sessions,
            graceMilliseconds,
            log: (message, fields) => lines.push({ message, fields }),
        });
        for (const state of [SessionState.Idle, SessionState.InTransaction]) {
            sessions.add(createBusySession(state, open => sessions.delete(open)));
        }
        sessionsStop.record(StopOutcome.Answered);
        const stopped = sessionsStop.closeAll(Promise.resolve());
        sessionsStop.record(StopOutcome.Answered);
        sessionsStop.record(StopOutcome.Cut);
        await clock.advance(graceMilliseconds);
        await stopped;
        const { message, fields } = lines.at(-1)!;
        assert.equal(message, "end of the stop");
        assert.deepEqual(fields, { open: 0, answered: 1, refused: 1, aborted: 2, unknown: 1, cut: 1 });
    });
});
