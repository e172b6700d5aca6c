import type { Clock } from "../../clock/types/Clock.js";
import type { Quota } from "../../workspaces/types/Quota.js";
import { quotaConstants } from "../constants.js";
import { divideExcess } from "../divideExcess/index.js";
import type { QuotaExcess } from "../types/QuotaExcess.js";

/** Options of `createUngrantedOperations`. */
interface UngrantedOperationsOptions {
    readonly clock: Pick<Clock, "now">;
    readonly excess: QuotaExcess;
    /** Time at which this process started, in milliseconds. */
    readonly startedAt: number;
    /** Returns the greatest number of VMs that this process knew at once; 0 before it knows any. */
    readonly vmCount: () => number;
}

/** The operations that a VM may admit without a grant. */
interface UngrantedOperations {
    /** Takes one operation; returns the function that gives it back, or undefined when none is left in the window. */
    take(quota: Quota): (() => void) | undefined;
}

/**
 * Creates the operations of one workspace that a VM may admit without a grant: its part of the excess, in any window.
 *
 * The parts of all VMs that could use one fit into the excess. A VM that has just started uses none for a window, because
 * the VM that it replaces may have used its own.
 *
 * @param options Clock, excess, start of the process and number of VMs.
 * @returns The operations, none of them used.
 *
 * @example
 * const giveBack = ungranted.take(quota);
 */
export function createUngrantedOperations(options: UngrantedOperationsOptions): UngrantedOperations {
    const { clock, excess, startedAt } = options;
    let takenAt: number[] = [];

    function limitOf(quota: Quota): number {
        const vmCount = Math.ceil(options.vmCount() * (1 + quotaConstants.spareVmShare));
        return vmCount === 0 ? 0 : Math.floor(divideExcess(quota, excess).ungrantedOperations / vmCount);
    }

    function take(quota: Quota): (() => void) | undefined {
        const now = clock.now();
        takenAt = takenAt.filter(at => now - at <= excess.windowMilliseconds);
        if (now - startedAt <= excess.windowMilliseconds || takenAt.length >= limitOf(quota)) {
            return undefined;
        }
        takenAt.push(now);
        return () => {
            const index = takenAt.indexOf(now);
            takenAt.splice(index, index < 0 ? 0 : 1);
        };
    }

    return { take };
}
