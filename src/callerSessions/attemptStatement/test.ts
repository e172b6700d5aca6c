import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { AcquiredConnection } from "../../placement/types/AcquiredConnection.js";
import { Verifiability } from "../../primaries/types/Verifiability.js";
import { AccessMode } from "../../statements/types/AccessMode.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import { StatementKind } from "../../statements/types/StatementKind.js";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createRoute } from "../../testing/createRoute/index.js";
import { createSessionServices } from "../../testing/createSessionServices/index.js";
import { createSessionContext } from "../createSessionContext/index.js";
import { AttemptKind } from "../types/AttemptKind.js";
import type { CallerStatement } from "../types/CallerStatement.js";
import { attemptStatement } from "./index.js";

const endpoint = createEndpointRecord({ isPrimary: true });
/** In milliseconds. */
const timeLimit = 500;

function createAttempt(mode: AccessMode, verificationResults: readonly boolean[], answer: Partial<StatementAnswer>) {
    const clock = createManualClock();
    const remainingResults = [...verificationResults];
    const services = createSessionServices(clock, [endpoint], {
        verification: {
            isVerified: () => false,
            wasVerified: () => false,
            verifiabilityOf: () => Verifiability.Possible,
            verify: async () => remainingResults.shift() ?? false,
        },
    });
    const statement: CallerStatement = {
        id: "q1",
        statement: { kind: mode === AccessMode.Read ? StatementKind.Read : StatementKind.Write, text: "a 1" },
        mode,
        route: createRoute(),
        session: { ...createSessionContext("shop"), values: new Map([["unit", "kg"]]) },
        receivedAt: 0,
        expiresAt: 1_000,
    };
    let exchanges = 0;
    const connection: AcquiredConnection = {
        endpoint,
        isPrimary: true,
        pooled: {
            session: undefined as never,
            idleSince: 0,
            endpointStartedAt: 1,
            values: new Map(),
            prepared: new Set(),
        },
        exchange: async statements => {
            exchanges += 1;
            const done: StatementAnswer = { rows: [], signature: "ok", state: SessionState.Idle };
            return statements.map((_statement, index) =>
                index === statements.length - 1 ? { ...done, ...answer } : done
            );
        },
        release: () => {},
        discard: () => {},
    };
    const run = () => attemptStatement(statement, { connection, leastPosition: undefined }, timeLimit, services);
    return { run, clock, services, statement, connection, exchanges: () => exchanges };
}

describe("attemptStatement", () => {
    it("does not send a write to an endpoint that is not verified as the primary, nor anything else on the connection", async () => {
        const { run, connection, exchanges } = createAttempt(AccessMode.Write, [false], {});
        const attempt = await run();
        assert.equal(attempt.kind, AttemptKind.Retryable);
        assert.equal(attempt.outcome.failure?.code, FailureCode.Busy);
        assert.equal(exchanges(), 0);
        assert.equal(connection.pooled.values.size, 0);
    });

    it("reports an unknown outcome for a commit in a term below the newest, also of an endpoint that leads in that one", async () => {
        for (const [term, code] of [[2, FailureCode.OutcomeUnknown], [3, undefined]] as const) {
            const answer = { position: { term, entry: 7 } };
            const { run, services } = createAttempt(AccessMode.Write, [true, true], answer);
            services.primaries.finishChange(endpoint.group, endpoint.id, 3);
            assert.equal((await run()).outcome.failure?.code, code);
        }
    });

    it("reports an unknown outcome when the verification after a commit finds a newer term", async () => {
        const { run, services } = createAttempt(AccessMode.Write, [], { position: { term: 1, entry: 7 } });
        let isSent = false;
        services.verification.verify = async () => {
            if (isSent) {
                services.primaries.finishChange(endpoint.group, endpoint.id, 3);
            }
            isSent = true;
            return true;
        };
        assert.equal((await run()).outcome.failure?.code, FailureCode.OutcomeUnknown);
    });

    it("accepts a write in a transaction at a new primary whose log has no entry of its term", async () => {
        const answer = { state: SessionState.InTransaction, position: { term: 2, entry: 7 } };
        const { run, services } = createAttempt(AccessMode.Write, [true, true], answer);
        services.primaries.finishChange(endpoint.group, endpoint.id, 3);
        assert.equal((await run()).outcome.failure, undefined);
    });

    it("reports an unknown outcome when the endpoint may have been superseded during the write", async () => {
        const attempt = await createAttempt(AccessMode.Write, [true, false], {}).run();
        assert.equal(attempt.kind, AttemptKind.Final);
        assert.equal(attempt.outcome.failure?.code, FailureCode.OutcomeUnknown);
    });

    it("does not return a read's answer from an endpoint that may have been superseded", async () => {
        const attempt = await createAttempt(AccessMode.Read, [false], {}).run();
        assert.equal(attempt.kind, AttemptKind.Retryable);
    });

    it("returns the answer of a verified primary", async () => {
        const attempt = await createAttempt(AccessMode.Write, [true, true], {}).run();
        assert.equal(attempt.kind, AttemptKind.Final);
        assert.equal(attempt.outcome.signature, "ok");
    });

    it("treats a refused statement as not run", async () => {
        const failure = { code: FailureCode.Busy, description: "no slot" };
        const attempt = await createAttempt(AccessMode.Write, [true], { signature: undefined, failure }).run();
        assert.equal(attempt.kind, AttemptKind.Retryable);
    });

    it("retries a read whose probe of an endpoint failed, and marks one that found no slot", async () => {
        const answer = (code: FailureCode) => ({ signature: undefined, failure: { code, description: code } });
        for (
            const [isProbe, code, kind, hadNoSlot] of [
                [true, FailureCode.Failed, AttemptKind.Retryable, false],
                [false, FailureCode.Failed, AttemptKind.Final, undefined],
                [false, FailureCode.Busy, AttemptKind.Retryable, true],
            ] as const
        ) {
            const { run, connection } = createAttempt(AccessMode.Read, [true, true], answer(code));
            Object.assign(connection, { isProbe });
            const attempt = await run();
            assert.equal(attempt.kind, kind);
            assert.equal(attempt.kind === AttemptKind.Retryable ? attempt.hadNoSlot : undefined, hadNoSlot);
        }
    });

    it("sends nothing while no query can verify the primary, and refuses unless that changes in time", async () => {
        for (const mode of [AccessMode.Read, AccessMode.Write]) {
            for (const verifiability of Object.values(Verifiability)) {
                const { run, clock, services, exchanges } = createAttempt(mode, [true, true], {});
                let current = Verifiability.NotYet;
                services.verification.verifiabilityOf = () => current;
                const attempt = run();
                await clock.advance(timeLimit / 2);
                assert.equal(exchanges(), 0);
                current = verifiability;
                await clock.advance(timeLimit / 2);
                const { kind, outcome } = await attempt;
                assert.equal(kind, AttemptKind.Final);
                const isPossible = verifiability === Verifiability.Possible;
                assert.equal(outcome.failure?.code, isPossible ? undefined : FailureCode.Busy);
                assert.equal(exchanges(), isPossible ? 1 : 0);
            }
        }
    });

    it("does not return a read of a primary that has stepped down, except in a transaction that began before", async () => {
        const refused = { failure: { code: FailureCode.ReadOnly, description: endpoint.id } };
        const { services, statement, connection } = createAttempt(AccessMode.Read, [true, true], {});
        connection.exchange = async statements =>
            statements.map(({ kind }): StatementAnswer => ({
                rows: [],
                signature: "ok",
                state: SessionState.Idle,
                ...kind === OutgoingKind.Begin ? refused : {},
            }));
        const eligible = { connection, leastPosition: undefined };
        const refusal = await attemptStatement(statement, eligible, 500, services);
        assert.equal(refusal.kind, AttemptKind.Retryable);
        assert.equal(refusal.outcome.failure?.code, FailureCode.Aborted, "the endpoint is not avoided as a silent one");
        const attempt = await attemptStatement(statement, { ...eligible, isInTransaction: true }, 500, services);
        assert.equal(attempt.outcome.signature, "ok");
    });
});
