import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createQuotaFleet } from "../../testing/createQuotaFleet/index.js";
import { findQuotaExcess } from "../../testing/findQuotaExcess/index.js";

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

describe("createQuotaGranter", () => {
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
