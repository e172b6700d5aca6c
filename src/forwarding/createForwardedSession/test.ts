import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { CallerSession } from "../../callerSessions/types/CallerSession.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { Statement } from "../../statements/types/Statement.js";
import { StatementKind } from "../../statements/types/StatementKind.js";
import type { ForwardedAnswer } from "../types/ForwardedAnswer.js";
import type { HostedSession } from "../types/HostedSession.js";
import { createForwardedSession } from "./index.js";

const begin: Statement = { kind: StatementKind.Begin, text: "BEGIN", isReadOnly: false };
const write: Statement = { kind: StatementKind.Write, text: "WRITE a b" };
const commit: Statement = { kind: StatementKind.Commit, text: "COMMIT" };

/** Creates a session whose host answers with the result of `answer`, or fails with the error that it throws. */
function createSite(answer: (statement: Statement) => ForwardedAnswer, openingError?: Error) {
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
        handle: async ({ statement }) => void events.push(`local runs ${statement.kind}`),
        abandonTransaction: () => {},
        end: () => void events.push("local session ended"),
    };
    const session = createForwardedSession({
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
        opening: openingError === undefined ? Promise.resolve(hosted) : Promise.reject(openingError),
        createLocal: () => local,
        routingVersion: () => 7,
        onRoutingVersion: version => void events.push(`version ${version}`),
        onHostLost: () => void events.push("lost"),
        log: () => {},
    });
    const run = (statement: Statement): Promise<void> => session.handle({ id: "q1", statement, receivedAt: 0 });
    return { events, session, run, closeHosted: () => closeHosted() };
}

function answerWith(state: SessionState): ForwardedAnswer {
    return { rows: [], state, routingVersion: 8 };
}

function failWith(message: string): never {
    throw new Error(message);
}

describe("createForwardedSession", () => {
    it("forwards statements with the version of the routing table, and returns the answers", async () => {
        const { events, session, run } = createSite(() => answerWith(SessionState.InTransaction));
        await run(begin);
        assert.deepEqual(events, ["host runs Begin at 7", "version 8", "success InTransaction"]);
        assert.equal(session.isInTransaction(), true);
    });

    it("serves the caller at this VM when the host does not open the session", async () => {
        const { events, session, run } = createSite(() => failWith("unused"), new Error("no answer"));
        await run(write);
        assert.deepEqual(events, ["lost", "local runs Write"]);
        session.end("left");
        assert.equal(events.at(-1), "local session ended");
    });

    it("reports an unknown outcome for a single write when the connection to the host was lost", async () => {
        const { events, run } = createSite(() => failWith("closed"));
        await run(write);
        assert.deepEqual(events.slice(1), ["lost", `${FailureCode.OutcomeUnknown} Idle`, "closed"]);
    });

    it("reports a transaction as aborted before its commit was sent, and an unknown outcome afterwards", async () => {
        for (const [last, code] of [[write, FailureCode.Aborted], [commit, FailureCode.OutcomeUnknown]] as const) {
            const { events, run } = createSite(({ kind }) =>
                kind === last.kind ? failWith("closed") : answerWith(SessionState.InTransaction)
            );
            await run(begin);
            await run(last);
            assert.deepEqual(events.slice(-2), [`${code} Idle`, "closed"]);
        }
    });

    it("closes an idle caller's connection when the host closes the session", async () => {
        const { events, run, closeHosted } = createSite(() => answerWith(SessionState.Idle));
        await run(write);
        closeHosted();
        assert.equal(events.at(-1), "closed");
    });
});
