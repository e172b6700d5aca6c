import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { RoutingTable } from "../../directory/types/RoutingTable.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { Statement } from "../../statements/types/Statement.js";
import { StatementKind } from "../../statements/types/StatementKind.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { forwardingConstants } from "../constants.js";
import type { ForwardedStatement } from "../types/ForwardedStatement.js";
import type { ForwardingClient } from "../types/ForwardingClient.js";
import { createHostLink } from "./index.js";

const opening = { database: "shop", keyDigest: "digest" };

const read: Statement = { kind: StatementKind.Read, text: "READ a" };
const write: Statement = { kind: StatementKind.Write, text: "WRITE a b" };
const begin: Statement = { kind: StatementKind.Begin, text: "BEGIN", isReadOnly: false };
const { closeDelayMilliseconds, openTimeoutMilliseconds, recentAnswerMilliseconds } = forwardingConstants;

/** Creates a link to a host that answers as long as `isAnswering` is set. */
function createSite() {
    const clock = createManualClock();
    const host = {
        isAnswering: true,
        messages: [] as string[],
        ran: [] as ForwardedStatement[],
        /** The routing table of the forwarding VM. */
        routingTable: undefined as RoutingTable | undefined,
    };
    let observer: Parameters<ForwardingClient["watchClosed"]>[0] | undefined;
    const silence = new Promise<never>(() => {});
    const client: ForwardingClient = {
        run: async forwarded => {
            host.messages.push(`run ${forwarded.id}`);
            host.ran.push(forwarded);
            if (!host.isAnswering) {
                return await silence;
            }
            const state = forwarded.statement.kind === StatementKind.Begin
                ? SessionState.InTransaction
                : SessionState.Idle;
            return { rows: [], state, routingVersion: 1 };
        },
        close: async keys => void host.messages.push(`close ${keys.join(" ")}`),
        probe: async () => {
            host.messages.push("probe");
            return host.isAnswering ? true : await silence;
        },
        watchClosed: next => {
            host.messages.push("watch");
            observer = next;
            if (host.isAnswering) {
                next.onData([]);
            }
            return { unsubscribe: () => void host.messages.push("end of watch") };
        },
    };
    const link = createHostLink({
        clock,
        client,
        hostName: "vm-2",
        routingTable: () => host.routingTable,
        keyPrefix: "vm-1",
    });
    const run = (session: ReturnType<typeof link.openSession>, id: string, statement: Statement) =>
        session.run({ id, statement, routingVersion: 1 });
    return { clock, host, link, run, observer: () => observer! };
}

describe("createHostLink", () => {
    it("sends one message for a session of one read, and closes such sessions together", async () => {
        const { clock, host, link, run } = createSite();
        for (const id of ["q1", "q2", "q3"]) {
            const session = link.openSession(opening);
            await run(session, id, read);
            session.close();
        }
        await clock.advance(closeDelayMilliseconds);
        assert.deepEqual(host.messages, ["watch", "run q1", "run q2", "run q3", "close vm-1-3"]);
        assert.deepEqual(host.ran.map(({ closedKeys }) => closedKeys), [undefined, ["vm-1-1"], ["vm-1-2"]]);
    });

    it("sends its routing table once, with the first statement after the host told an older version", async () => {
        const { host, link, run } = createSite();
        host.routingTable = { version: 2, routes: [], groups: [], idleTransactionMilliseconds: 1 };
        const session = link.openSession(opening);
        for (const id of ["q1", "q2", "q3"]) {
            await run(session, id, read);
        }
        assert.deepEqual(host.ran.map(({ routingTable }) => routingTable?.version), [undefined, 2, undefined]);
    });

    it("names the database until the host has answered", async () => {
        const { host, link, run } = createSite();
        const session = link.openSession(opening);
        await run(session, "q1", read);
        await run(session, "q2", read);
        assert.deepEqual(host.ran.map(({ database }) => database), ["shop", undefined]);
    });

    it("closes a session in a transaction at once, also before its beginning was answered", async () => {
        const { host, link, run } = createSite();
        const session = link.openSession(opening);
        await run(session, "q1", begin);
        session.close();
        assert.equal(host.messages.at(-1), "close vm-1-1");
        const beginning = link.openSession(opening);
        const answered = run(beginning, "q2", begin);
        await new Promise(resolve => setImmediate(resolve));
        host.isAnswering = false;
        beginning.close();
        await answered;
        const unanswered = link.openSession(opening);
        void run(unanswered, "q3", begin);
        await new Promise(resolve => setImmediate(resolve));
        unanswered.close();
        assert.equal(host.messages.at(-1), "close vm-1-3");
    });

    it("fails with an error that tells that nothing was sent when the host does not answer", async () => {
        const { clock, host, link, run } = createSite();
        host.isAnswering = false;
        const failure = run(link.openSession(opening), "q1", write).catch(toTypedError);
        await clock.advance(openTimeoutMilliseconds);
        assert.equal((await failure as { kind?: ErrorKind; }).kind, ErrorKind.Unreachable);
        assert.deepEqual(host.messages, ["watch", "end of watch"]);
    });

    it("sends a first write to a silent host only after a probe, so that it is not sent to one that is frozen", async () => {
        const { clock, host, link, run } = createSite();
        await run(link.openSession(opening), "q1", read);
        await run(link.openSession(opening), "q2", write);
        await clock.advance(recentAnswerMilliseconds + 1);
        await run(link.openSession(opening), "q3", write);
        assert.deepEqual(host.messages.slice(1), ["run q1", "run q2", "probe", "run q3"]);
        await clock.advance(recentAnswerMilliseconds + 1);
        host.isAnswering = false;
        const failure = run(link.openSession(opening), "q4", write).catch(toTypedError);
        await clock.advance(openTimeoutMilliseconds);
        assert.equal((await failure as { kind?: ErrorKind; }).kind, ErrorKind.Unreachable);
        assert.equal(host.ran.some(({ id }) => id === "q4"), false);
    });

    it("tells sessions that the host has closed them, and all of them when the connection is lost", async () => {
        const { host, link, run, observer } = createSite();
        const closed: string[] = [];
        for (const id of ["q1", "q2", "q3"]) {
            const session = link.openSession(opening);
            session.onClose(() => closed.push(id));
            await run(session, id, read);
        }
        observer().onData(["vm-1-2"]);
        assert.deepEqual(closed, ["q2"]);
        observer().onError(new Error("connection closed"));
        assert.deepEqual(closed, ["q2", "q1", "q3"]);
        await run(link.openSession(opening), "q4", read);
        assert.equal(host.messages.filter(message => message === "watch").length, 2);
    });
});
