import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { CallerSession } from "../../callerSessions/types/CallerSession.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { Statement } from "../../statements/types/Statement.js";
import { StatementKind } from "../../statements/types/StatementKind.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { forwardingConstants } from "../constants.js";
import type { ForwardedAnswer } from "../types/ForwardedAnswer.js";
import type { HostedSession } from "../types/HostedSession.js";
import { createForwardedSession } from "./index.js";

const begin: Statement = { kind: StatementKind.Begin, text: "BEGIN", isReadOnly: false };
const write: Statement = { kind: StatementKind.Write, text: "WRITE a b" };
const commit: Statement = { kind: StatementKind.Commit, text: "COMMIT" };

/** Creates a session whose host answers with the result of `answer`, or fails with the error that it throws. */
function createSite(answer: (statement: Statement) => ForwardedAnswer) {
    const events: string[] = [];
    let closeHosted = (): void => {};
    const hosted: HostedSession = {
        run: async ({ statement, routingVersion }) => {
            events.push(`host runs ${statement.kind} at ${routingVersion}`);
            return answer(statement);
        },
        onClose: listener => {
            closeHosted = listener;
        },
        close: () => void events.push("host session ended"),
    };
    const local: CallerSession = {
        isInTransaction: () => false,
        isOver: () => false,
        handle: async ({ statement }) => void events.push(`local runs ${statement.kind}`),
        abandonTransaction: () => {},
        end: () => void events.push("local session ended"),
    };
    const clock = createManualClock();
    const session = createForwardedSession({
        clock,
        connection: {
            onCommand: () => {},
            onClose: () => {},
            sendReady: () => {},
            sendSuccess: ({ state }) => void events.push(`success ${state}`),
            sendFailure: ({ code }, state) => void events.push(`${code} ${state}`),
            refuse: () => {},
            close: () => void events.push("closed"),
        },
        database: "shop",
        hostName: "vm-2",
        hosted,
        createLocal: () => local,
        routingVersion: () => 7,
        onRoutingVersion: version => void events.push(`version ${version}`),
        onHostLost: () => void events.push("lost"),
        log: () => {},
    });
    const run = (statement: Statement): Promise<void> => session.handle({ id: "q1", statement, receivedAt: 0 });
    return { events, clock, session, run, closeHosted: () => closeHosted() };
}

function answerWith(state: SessionState): ForwardedAnswer {
    return { rows: [], state, routingVersion: 8 };
}

function failWith(kind: ErrorKind): never {
    throw createError(kind, "The host did not answer.", { remedy: "Use another one." });
}

const { ConnectionClosed, NotFound, Unreachable } = ErrorKind;
const read: Statement = { kind: StatementKind.Read, text: "READ a" };

describe("createForwardedSession", () => {
    it("forwards statements with the version of the routing table, and returns the answers", async () => {
        const { events, session, run } = createSite(() => answerWith(SessionState.InTransaction));
        await run(begin);
        assert.deepEqual(events, ["host runs Begin at 7", "version 8", "success InTransaction"]);
        assert.equal(session.isInTransaction(), true);
    });

    it("is over after the last answer when the host's end of the session arrives first", async () => {
        const site = createSite(() => {
            site.closeHosted();
            return answerWith(SessionState.Idle);
        });
        assert.equal(site.session.isOver(), false);
        await site.run(read);
        assert.equal(site.events.at(-1), "success Idle");
        assert.equal(site.session.isOver(), true);
        await site.clock.advance(forwardingConstants.hostClosedLingerMilliseconds);
        assert.equal(site.events.at(-1), "closed");
    });

    it("answers as not run what was sent while the host closed the session, and what was queued behind it", async () => {
        const { events, session, run, closeHosted } = createSite(() => answerWith(SessionState.Idle));
        await run(write);
        closeHosted();
        await run(write);
        await run(read);
        assert.deepEqual(events.slice(-2), [`${FailureCode.Aborted} Idle`, `${FailureCode.Aborted} Idle`]);
        assert.equal(events.filter(event => event.startsWith("host runs")).length, 1);
        assert.equal(session.isOver(), true);
    });

    it("serves the caller at this VM when the host has certainly not run the first statement", async () => {
        for (const kind of [Unreachable, NotFound]) {
            const { events, session, run } = createSite(() => failWith(kind));
            await run(write);
            await run(commit);
            assert.deepEqual(events.slice(1), [
                "lost",
                "host session ended",
                "local runs Write",
                "local runs Commit",
            ]);
            session.end("left");
            assert.ok(events.includes("local session ended"));
        }
    });

    it("serves the caller at this VM when the answer to a first statement without effect was lost", async () => {
        for (const statement of [read, begin]) {
            const { events, run } = createSite(() => failWith(ConnectionClosed));
            await run(statement);
            assert.equal(events.at(-1), `local runs ${statement.kind}`);
        }
    });

    it("does not run a read again at this VM in a session whose values are lost", async () => {
        let answered = 0;
        const { events, session, run } = createSite(() => {
            answered += 1;
            return answered === 1 ? answerWith(SessionState.Idle) : failWith(ConnectionClosed);
        });
        await run(read);
        await run(read);
        assert.deepEqual(events.slice(-2), ["lost", `${FailureCode.Aborted} Idle`]);
        assert.equal(session.isOver(), true);
    });

    it("reports a write as not run that the host has certainly not run", async () => {
        let answered = 0;
        const { events, session, run } = createSite(() => {
            answered += 1;
            return answered === 1 ? answerWith(SessionState.Idle) : failWith(NotFound);
        });
        await run(read);
        await run(write);
        assert.equal(events.at(-1), `${FailureCode.Aborted} Idle`);
        assert.equal(session.isOver(), true);
    });

    it("reports an unknown outcome for a single write when the connection to the host was lost", async () => {
        const { events, session, run } = createSite(() => failWith(ConnectionClosed));
        await run(write);
        assert.deepEqual(events.slice(1), ["lost", `${FailureCode.OutcomeUnknown} Idle`]);
        assert.equal(session.isOver(), true);
    });

    it("reports a transaction as aborted before its commit was sent, and an unknown outcome afterwards", async () => {
        for (const [last, code] of [[write, FailureCode.Aborted], [commit, FailureCode.OutcomeUnknown]] as const) {
            const { events, session, run } = createSite(({ kind }) =>
                kind === last.kind ? failWith(ConnectionClosed) : answerWith(SessionState.InTransaction)
            );
            await run(begin);
            await run(last);
            assert.equal(events.at(-1), `${code} Idle`);
            assert.equal(session.isOver(), true);
        }
    });

    it("closes an idle caller's connection when the host closes the session", async () => {
        const { events, clock, run, closeHosted } = createSite(() => answerWith(SessionState.Idle));
        await run(write);
        closeHosted();
        assert.equal(events.at(-1), "success Idle");
        await clock.advance(forwardingConstants.hostClosedLingerMilliseconds);
        assert.equal(events.at(-1), "closed");
    });
});
