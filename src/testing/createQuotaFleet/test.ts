import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { quotaConstants } from "../../quotas/constants.js";
import { QuotaOutcome } from "../../quotas/types/QuotaOutcome.js";
import { findQuotaExcess } from "../findQuotaExcess/index.js";
import { createQuotaFleet } from "./index.js";

type Fleet = ReturnType<typeof createQuotaFleet>;

const excess = { windowMilliseconds: 5_000, share: 0.1, operations: 20 };
const usualPerSecond = 100;
const quota = { operationsPerSecond: 160, burstOperations: 160 };
const lowerQuota = { operationsPerSecond: 40, burstOperations: 40 };
const configurationMilliseconds = 1_000;
/** Percent of the demand at each of the VMs with sessions of the workspace. */
const percents = [30, 20, 12, 10, 8, 6, 5, 4, 2, 1, 1, 1];
const firstAsking = 5;

function startFleet(vmCount = 75): Fleet {
    const fleet = createQuotaFleet({ vmCount, quota, excess, seed: 7 });
    setDemand(fleet, usualPerSecond);
    fleet.advance(10_000);
    return fleet;
}

function setDemand({ vms }: Fleet, operationsPerSecond: number): void {
    percents.forEach((percent, index) => {
        vms[firstAsking + index]!.operationsPerSecond = operationsPerSecond * percent / 100;
    });
}

/** Runs the fleet and returns the share of the operations that were admitted. */
function measureAdmitted(fleet: Fleet, milliseconds: number): number {
    fleet.vms.forEach(({ outcomes }) => outcomes.clear());
    fleet.advance(milliseconds);
    const count = (outcome: QuotaOutcome): number =>
        fleet.vms.reduce((sum, { outcomes }) => sum + (outcomes.get(outcome) ?? 0), 0);
    const all = Object.values(QuotaOutcome).reduce((sum, outcome) => sum + count(outcome), 0);
    return 1 - count(QuotaOutcome.Refused) / all;
}

function assertWithin(fleet: Fleet, limit = quota): void {
    assert.ok(findQuotaExcess(fleet.admittedAt, limit, excess) <= 0);
}

/** Checks that a lower quota binds at each VM one window after it is in force everywhere. */
function assertLowered(fleet: Fleet, loweredAt: number): void {
    const boundAt = loweredAt + configurationMilliseconds + excess.windowMilliseconds;
    const after = fleet.admittedAt.filter(at => at >= boundAt);
    assert.ok(fleet.now() > boundAt + 2 * excess.windowMilliseconds);
    assert.ok(findQuotaExcess(after, lowerQuota, excess) <= 0);
}

const failures: Readonly<Record<string, (fleet: Fleet) => void>> = {
    "the holder is killed": fleet => {
        fleet.pause(0, 60_000, false);
        fleet.schedule(1_700, () => fleet.takeOver(1));
    },
    "the holder is paused and comes back": fleet => {
        fleet.pause(0, 4_000, false);
        fleet.schedule(1_700, () => fleet.takeOver(1));
    },
    "two VMs hold the duty": fleet => fleet.takeOver(1),
    "a VM is cut from the holder while its workspace bursts": fleet => {
        fleet.cut(firstAsking, 8_000);
        setDemand(fleet, 7.5 * usualPerSecond);
    },
    "all VMs restart with grants out": fleet => fleet.vms.forEach((_vm, index) => fleet.restart(index)),
};

describe("createQuotaFleet", () => {
    it("admits over 99% at the first try of an uneven demand within the limit", (context: TestContext) => {
        const share = measureAdmitted(startFleet(), 60_000);
        context.diagnostic(`share admitted ${share.toFixed(4)}`);
        assert.ok(share > 0.99);
    });

    it("admits over 0.95 of the ideal bucket at 7.5 times the usual demand, and no more than the bound", context => {
        const fleet = startFleet();
        const before = fleet.admittedAt.length;
        setDemand(fleet, 7.5 * usualPerSecond);
        fleet.advance(20_000);
        const ideal = 20 * quota.operationsPerSecond + quota.burstOperations;
        const share = (fleet.admittedAt.length - before) / ideal;
        context.diagnostic(`share of the ideal bucket ${share.toFixed(3)}`);
        assert.ok(share > 0.95);
        assertWithin(fleet);
    });

    it("exchanges as many bytes a renewal with 300 VMs as with 8", context => {
        const meanBytes = [8, 300].map(vmCount => {
            const fleet = createQuotaFleet({ vmCount, quota, excess, seed: 7 });
            fleet.vms[1]!.operationsPerSecond = usualPerSecond;
            fleet.advance(20_000);
            return fleet.messageBytes.reduce((sum, bytes) => sum + bytes, 0) / fleet.messageBytes.length;
        });
        context.diagnostic(`bytes a renewal: ${meanBytes.map(Math.round).join(" with 8 VMs, ")} with 300`);
        assert.ok(Math.abs(meanBytes[0]! - meanBytes[1]!) < 0.05 * meanBytes[0]!);
    });

    for (const [failure, inject] of Object.entries(failures)) {
        it(`stays within the bound and recovers when ${failure}`, context => {
            const fleet = startFleet();
            inject(fleet);
            const share = measureAdmitted(fleet, 10_000);
            context.diagnostic(`share admitted in the 10 s of the failure ${share.toFixed(4)}`);
            setDemand(fleet, usualPerSecond);
            fleet.advance(5_000);
            assert.ok(measureAdmitted(fleet, 10_000) > 0.99);
            assertWithin(fleet);
        });

        it(`applies a lower limit within a window when ${failure}`, () => {
            const fleet = startFleet();
            inject(fleet);
            const loweredAt = fleet.now();
            fleet.changeQuota(lowerQuota, configurationMilliseconds);
            setDemand(fleet, 7.5 * usualPerSecond);
            fleet.advance(25_000);
            assertWithin(fleet);
            assertLowered(fleet, loweredAt);
        });
    }

    it("goes on without a gap when the holder is killed", () => {
        const fleet = startFleet();
        failures["the holder is killed"]!(fleet);
        assert.ok(measureAdmitted(fleet, 2 * quotaConstants.grantMilliseconds) > 0.9);
    });
});
