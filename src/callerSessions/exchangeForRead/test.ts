import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { AcquiredConnection } from "../../placement/types/AcquiredConnection.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import type { OutgoingStatement } from "../../statements/types/OutgoingStatement.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import { createEndpointRecord } from "../../testing/createEndpointRecord/index.js";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createSessionServices } from "../../testing/createSessionServices/index.js";
import { exchangeForRead } from "./index.js";

const endpoint = createEndpointRecord({ id: "i-1", isPrimary: true });
const read: OutgoingStatement = { kind: OutgoingKind.Forwarded, id: "q1", text: "READ a" };
const position = { term: 2, entry: 7 };

/** Reads at an endpoint that refuses to begin a transaction with the given code; it has none of its own while it leads. */
async function readAt(isPrimary: boolean, refusal: FailureCode | undefined, hasLease: () => boolean) {
    const services = createSessionServices(createManualClock(), [endpoint]);
    const sent: OutgoingKind[] = [];
    const connection = {
        endpoint,
        isPrimary,
        exchange: async (statements: readonly OutgoingStatement[]) => {
            sent.push(...statements.map(({ kind }) => kind));
            return statements.map(({ kind }): StatementAnswer => {
                const isRefused = kind === OutgoingKind.Begin && refusal !== undefined;
                const failure = isRefused ? { failure: { code: refusal, description: endpoint.id } } : {};
                return { rows: [kind], state: SessionState.Idle, position, ...failure };
            });
        },
    } as unknown as AcquiredConnection;
    const verification = { ...services.verification, isVerified: hasLease };
    const { answers, isProven } = await exchangeForRead(connection, [read], 500, { ...services, verification });
    assert.deepEqual(answers.map(({ rows }) => rows[0]), [OutgoingKind.Forwarded]);
    return { isProven, sent, primaries: services.primaries };
}

describe("exchangeForRead", () => {
    // Stale reads: the former primary had stepped down for an endpoint that the VM did not know.
    it("does not rely on the read of a former primary that became a replica", async () => {
        const { isProven, primaries } = await readAt(true, FailureCode.ReadOnly, () => false);
        assert.equal(isProven, false);
        assert.equal(primaries.primaryOf("orders"), undefined);
        assert.equal((await readAt(true, FailureCode.Busy, () => false)).isProven, false);
    });

    it("asks the primary for its role on the same connection before the read", async () => {
        const { isProven, sent, primaries } = await readAt(true, undefined, () => false);
        assert.ok(isProven);
        assert.deepEqual(sent, [OutgoingKind.Begin, OutgoingKind.Rollback, OutgoingKind.Forwarded]);
        assert.equal(primaries.termOf("orders"), position.term);
    });

    it("asks neither a replica nor a primary for which a lease vouches until the answer", async () => {
        assert.deepEqual((await readAt(false, undefined, () => false)).sent, [OutgoingKind.Forwarded]);
        const { isProven, sent } = await readAt(true, undefined, () => true);
        assert.ok(isProven);
        assert.deepEqual(sent, [OutgoingKind.Forwarded]);
        const leases = [true, false];
        assert.equal((await readAt(true, undefined, () => leases.shift()!)).isProven, false, "the lease has ended");
    });
});
