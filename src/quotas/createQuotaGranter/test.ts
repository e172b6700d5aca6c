import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../testing/createManualClock/index.js";
import { createQuotaFleet } from "../../testing/createQuotaFleet/index.js";
import { findQuotaExcess } from "../../testing/findQuotaExcess/index.js";
import type { Quota } from "../../workspaces/types/Quota.js";
import { quotaConstants } from "../constants.js";
import type { HeldQuotaGrant } from "../types/HeldQuotaGrant.js";
import type { QuotaDemands } from "../types/QuotaDemands.js";
import { createQuotaGranter } from "./index.js";

type Fleet = ReturnType<typeof createQuotaFleet>;

/** A fault of a run. The VM with all the demand is hit; then another one gets as much demand. */
interface Fault {
    readonly kind: string;
    readonly at: number;
    readonly next: number;
    readonly milliseconds: number;
}

const vmCount = 5;
const runMilliseconds = 25_000;
const hotOperationsPerSecond = 400;

const faults: Readonly<Record<string, (fleet: Fleet, hot: number, fault: Fault) => void>> = {
    none: () => {},
    takeover: (fleet, _hot, { next }) => fleet.takeOver(next),
    "takeover behind a cut": (fleet, hot, { next, milliseconds }) => {
        fleet.cut(hot, milliseconds);
        fleet.takeOver(next);
    },
    pause: (fleet, hot, { milliseconds }) => fleet.pause(hot, milliseconds, false),
    suspension: (fleet, hot, { milliseconds }) => fleet.pause(hot, milliseconds, true),
    "suspension behind a cut": (fleet, hot, { milliseconds }) => {
        fleet.pause(hot, milliseconds, true);
        fleet.cut(hot, 2 * milliseconds);
    },
    cut: (fleet, hot, { milliseconds }) => fleet.cut(hot, milliseconds),
    restart: (fleet, hot) => fleet.restart(hot),
    "suspended holder": (fleet, _hot, { milliseconds, next }) => {
        fleet.pause(fleet.holder(), milliseconds, true);
        fleet.schedule(milliseconds / 2, () => fleet.takeOver(next));
    },
};

const fault = fc.record({
    kind: fc.constantFrom(...Object.keys(faults)),
    at: fc.integer({ min: 1_000, max: runMilliseconds - 5_000 }),
    next: fc.integer({ min: 0, max: vmCount - 1 }),
    milliseconds: fc.integer({ min: 100, max: 8_000 }),
});

const quota = { operationsPerSecond: 100, burstOperations: 50 };
const heldGrant = { operationsPerSecond: 30, maximumOperations: 10, quota };
const demand = { workspace: "acme", operationsPerSecond: 40, waitingOperations: 5, heldOperations: 3 };
const firstVm = { name: "vm-1", incarnation: "1" };

function createGranter(quotaOf: () => Quota | undefined = () => quota) {
    const clock = createManualClock();
    const granter = createQuotaGranter({
        clock,
        name: "vm-9",
        record: { admits: () => true, takeOver: () => {} },
        quotaOf,
        excess: { windowMilliseconds: 5_000, share: 0.1, operations: 20 },
        metrics: { countQuotaGrants: () => {} },
        log: () => {},
    });
    return { clock, granter };
}

/** A request that reports a grant of another holder. */
function reportOf(request: number, grant?: HeldQuotaGrant): QuotaDemands {
    const demands = [grant === undefined ? demand : { ...demand, grant }];
    return { request, granter: "vm-8-1", appliedNumber: 4, areGrantsReported: true, demands };
}

describe("createQuotaGranter", () => {
    it("answers nothing before its predecessor has ended, then goes on with reported grants, then shares anew", async () => {
        const { clock, granter } = createGranter();
        granter.startGranting(1_800);
        await clock.advance(1_799);
        assert.equal(granter.answerDemands(firstVm, reportOf(1, heldGrant)), undefined);
        await clock.advance(1);
        const continued = granter.answerDemands(firstVm, reportOf(2, heldGrant))!;
        assert.equal(continued.isContinuation, true);
        assert.deepEqual(continued.grants, [{ workspace: "acme", ...heldGrant, operations: 0, isLimited: false }]);
        assert.deepEqual(granter.answerDemands({ ...firstVm, name: "vm-2" }, reportOf(1))!.grants, []);
        await clock.advance(quotaConstants.grantMilliseconds);
        const shared = granter.answerDemands(firstVm, reportOf(3))!;
        assert.equal(shared.isContinuation, false);
        assert.equal(shared.grants[0]!.operations, 0);
    });

    it("does not answer a request that reports no grants while it only goes on with them", () => {
        const { granter } = createGranter();
        granter.startGranting(0);
        assert.equal(granter.answerDemands(firstVm, { ...reportOf(1), areGrantsReported: false }), undefined);
    });

    it("does not go on with a grant of a higher quota", () => {
        const { granter } = createGranter(() => ({ ...quota, burstOperations: 49 }));
        granter.startGranting(0);
        assert.deepEqual(granter.answerDemands(firstVm, reportOf(1, heldGrant))!.grants, []);
    });

    it("answers no request twice, and none that was overtaken", () => {
        const { granter } = createGranter();
        assert.notEqual(granter.answerDemands(firstVm, reportOf(2)), undefined);
        assert.equal(granter.answerDemands(firstVm, reportOf(2)), undefined);
        assert.equal(granter.answerDemands(firstVm, reportOf(1)), undefined);
    });

    it("never has all VMs admit more than the quota and its excess in a window, whatever fails", () => {
        fc.assert(
            fc.property(
                fc.array(fault, { minLength: 1, maxLength: 6 }),
                fc.record({
                    operationsPerSecond: fc.integer({ min: 20, max: 200 }),
                    burstOperations: fc.integer({ min: 1, max: 60 }),
                }),
                fc.constantFrom(0, 0.05, 0.2),
                fc.constantFrom({ share: 0.1, operations: 20 }, { share: 0, operations: 0 }),
                fc.integer(),
                (drawn, quota, faultShare, excessOfWindow, seed) => {
                    const excess = { windowMilliseconds: 5_000, ...excessOfWindow };
                    const fleet = createQuotaFleet({ vmCount, quota, excess, seed, faultShare });
                    let hot = 0;
                    fleet.vms[hot]!.operationsPerSecond = hotOperationsPerSecond;
                    for (const planned of drawn) {
                        fleet.schedule(planned.at, () => {
                            faults[planned.kind]!(fleet, hot, planned);
                            hot = planned.next;
                            fleet.vms[hot]!.operationsPerSecond = hotOperationsPerSecond;
                        });
                    }
                    fleet.advance(runMilliseconds);
                    const excessOperations = findQuotaExcess(fleet.admittedAt, quota, excess);
                    assert.ok(excessOperations <= 0, `${excessOperations} operations beyond the bound`);
                },
            ),
            { numRuns: 120, seed: 11 },
        );
    });
});
