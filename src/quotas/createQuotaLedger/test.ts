import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { quotaConstants } from "../constants.js";
import type { QuotaDemand } from "../types/QuotaDemand.js";
import { createQuotaLedger } from "./index.js";

const quota = { operationsPerSecond: 100, burstOperations: 50 };
const excess = { windowMilliseconds: 5_000, share: 0, operations: 0 };

function createLedger() {
    const clock = createManualClock();
    const ledger = createQuotaLedger({ clock, excess, emptyAt: 0, firstQuota: quota });
    return { clock, ledger };
}

function demandOf(operationsPerSecond: number, changes: Partial<QuotaDemand> = {}): QuotaDemand {
    return { workspace: "acme", operationsPerSecond, waitingOperations: 0, heldOperations: 0, ...changes };
}

describe("createQuotaLedger", () => {
    it("begins with an empty bucket, and fills it up to the burst", async () => {
        const { clock, ledger } = createLedger();
        assert.equal(ledger.grant("vm-1", demandOf(0, { waitingOperations: 200 }), 1, quota).operations, 0);
        ledger.confirm("vm-1", 1);
        await clock.advance(2_000);
        const { operations } = ledger.grant("vm-1", demandOf(0, { waitingOperations: 200 }), 2, quota);
        assert.ok(operations > 45 && operations <= 50, `${operations}`);
    });

    it("counts the grant that a VM applied and the one under way, until a request tells which it follows", async () => {
        const { clock, ledger } = createLedger();
        const first = ledger.grant("vm-1", demandOf(1_000), 1, quota);
        ledger.confirm("vm-1", 1);
        const second = ledger.grant("vm-1", demandOf(10), 2, quota);
        assert.ok(second.operationsPerSecond < first.operationsPerSecond);
        const other = ledger.grant("vm-2", demandOf(1_000), 3, quota);
        assert.ok(first.operationsPerSecond + other.operationsPerSecond <= quota.operationsPerSecond);
        ledger.confirm("vm-1", 2);
        await clock.advance(300);
        const later = ledger.grant("vm-2", demandOf(1_000), 4, quota);
        assert.ok(later.operationsPerSecond > other.operationsPerSecond);
    });

    it("fills the bucket by what was left before a grant was replaced", async () => {
        const { clock, ledger } = createLedger();
        const { operationsPerSecond } = ledger.grant("vm-1", demandOf(1_000), 1, quota);
        await clock.advance(1_000);
        ledger.confirm("vm-1", 0);
        const { operations } = ledger.grant("vm-1", demandOf(0, { waitingOperations: 200 }), 2, quota);
        assert.ok(operations <= quota.operationsPerSecond - operationsPerSecond + 1e-6, `${operations}`);
    });

    it("counts a grant until it has ended, also when its VM no longer asks", async () => {
        const { clock, ledger } = createLedger();
        const { operationsPerSecond } = ledger.grant("vm-1", demandOf(1_000), 1, quota);
        await clock.advance(quotaConstants.grantMilliseconds - 1);
        const early = ledger.grant("vm-2", demandOf(1_000), 2, quota);
        assert.ok(early.operationsPerSecond <= quota.operationsPerSecond - operationsPerSecond);
        await clock.advance(quotaConstants.pruneMilliseconds);
        assert.ok(ledger.grant("vm-2", demandOf(1_000), 3, quota).operationsPerSecond > early.operationsPerSecond);
    });

    it("keeps what VMs hold and the bucket within a lower quota", async () => {
        const { clock, ledger } = createLedger();
        const { maximumOperations } = ledger.grant("vm-1", demandOf(1_000), 1, quota);
        await clock.advance(1_000);
        const lower = { operationsPerSecond: 10, burstOperations: 5 };
        const grant = ledger.grant("vm-2", demandOf(1_000, { waitingOperations: 50 }), 2, lower);
        assert.ok(maximumOperations > 5);
        assert.deepEqual([grant.operations, grant.operationsPerSecond, grant.maximumOperations], [0, 0, 0]);
    });

    it("is forgotten only when it is full and no VM has a grant", async () => {
        const { clock, ledger } = createLedger();
        ledger.grant("vm-1", demandOf(1), 1, quota);
        await clock.advance(quotaConstants.grantMilliseconds - 1);
        assert.equal(ledger.isForgettable(), false);
        await clock.advance(2_000);
        assert.equal(ledger.isForgettable(), true);
    });
});
