import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CallerCommandKind } from "../../callerSessions/types/CallerCommandKind.js";
import type { CallerConnection } from "../../callerSessions/types/CallerConnection.js";
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

describe("createSessionHost", () => {
    it("serves a session until its subscription ends", async () => {
        const { site, host } = createSite(answer);
        const end = new AbortController();
        const session = host.open("shop", end.signal);
        const sessionId = (await session.next()).value as number;
        const answered = await host.run({ sessionId, id: "q1", statement, routingVersion: 3 });
        assert.deepEqual(answered, { rows: ["data"], signature: "s1", state: SessionState.Idle, routingVersion: 3 });
        const over = session.next();
        end.abort();
        assert.equal((await over).done, true);
        assert.equal(site.closed, 1);
        assert.equal(host.count(), 0);
        await assert.rejects(host.run({ sessionId, id: "q2", statement, routingVersion: 3 }), /closed/);
    });

    it("waits for the forwarding VM's routing table, and refuses the statement when it does not arrive", async () => {
        const { clock, site, host } = createSite(answer);
        const session = host.open("shop", undefined);
        const sessionId = (await session.next()).value as number;
        const waited = host.run({ sessionId, id: "q1", statement, routingVersion: 4 });
        await clock.advance(100);
        site.version = 4;
        await clock.advance(100);
        assert.equal((await waited).failure, undefined);
        const refused = host.run({ sessionId, id: "q2", statement, routingVersion: 5 });
        await clock.advance(forwardingConstants.routingTimeoutMilliseconds + 100);
        assert.equal((await refused).failure?.code, FailureCode.Busy);
        void session.return(undefined);
    });

    it("fails a statement in flight when the session is closed, and ends the subscription", async () => {
        const { host } = createSite((connection, kind) =>
            kind === CallerCommandKind.Open ? answer(connection, kind) : connection.close()
        );
        const session = host.open("shop", undefined);
        const sessionId = (await session.next()).value as number;
        const over = session.next();
        await assert.rejects(host.run({ sessionId, id: "q1", statement, routingVersion: 3 }), /closed/);
        assert.equal((await over).done, true);
    });

    it("opens no session when it is refused", async () => {
        const { host } = createSite(connection =>
            connection.refuse({ code: FailureCode.UnknownDatabase, description: "no route leads to it" })
        );
        await assert.rejects(host.open("nowhere", undefined).next(), /no route leads to it/);
        assert.equal(host.count(), 0);
    });
});
