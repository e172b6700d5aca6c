import type { Clock } from "../../clock/types/Clock.js";
import { dutyConstants } from "../constants.js";
import type { GrantedLeases } from "../types/GrantedLeases.js";
import type { VmIdentity } from "../types/VmIdentity.js";

/** A lease and when it was granted. */
interface GrantedLease {
    readonly vm: VmIdentity;
    readonly grantedAt: number;
}

/**
 * Creates the holder's record of the leases that it has granted, and of those that a previous holder may have granted.
 *
 * @param clock Source of time.
 * @returns The record, empty.
 *
 * @example
 * const vms = leases.listPossibleVms(otherVms);
 */
export function createGrantedLeases(clock: Clock): GrantedLeases {
    const { leaseMilliseconds, formerHolderMilliseconds } = dutyConstants;
    const leases = new Map<string, GrantedLease>();
    /** Time at which the last lease of the previous holder has ended, and its last order has taken effect. */
    let formerHolderEndsAt = -Infinity;
    let mayGrant = true;

    function hasFormerLeases(): boolean {
        return clock.now() < formerHolderEndsAt;
    }

    function listPossibleVms(otherVms: readonly VmIdentity[]): readonly VmIdentity[] {
        if (hasFormerLeases()) {
            return otherVms;
        }
        const now = clock.now();
        return [...leases.values()]
            .filter(({ grantedAt }) => now - grantedAt < leaseMilliseconds)
            .map(({ vm }) => vm);
    }

    function endOf({ name }: VmIdentity): number {
        return (leases.get(name)?.grantedAt ?? -Infinity) + leaseMilliseconds;
    }

    return {
        startHolding: () => {
            leases.clear();
            mayGrant = false;
            formerHolderEndsAt = clock.now() + formerHolderMilliseconds;
        },
        startGranting: () => {
            mayGrant = true;
        },
        isGranting: () => mayGrant && !hasFormerLeases(),
        recordContact: (vm, isGranted) => {
            if (isGranted) {
                leases.set(vm.name, { vm, grantedAt: clock.now() });
            }
        },
        listPossibleVms,
        // The previous holder may have granted leases to VMs that this one does not know yet.
        endOfLeases: vms => Math.max(formerHolderEndsAt, ...vms.map(endOf)),
    };
}
