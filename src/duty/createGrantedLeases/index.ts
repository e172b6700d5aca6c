import type { Clock } from "../../clock/types/Clock.js";
import { dutyConstants } from "../constants.js";
import type { GrantedLeases } from "../types/GrantedLeases.js";
import { Predecessor } from "../types/Predecessor.js";
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
 * @param onStart Called when a new record begins, with the time after which no predecessor grants anything.
 * @returns The record, empty.
 *
 * @example
 * const vms = leases.listPossibleVms(otherVms);
 */
export function createGrantedLeases(clock: Clock, onStart = (_lastGrantAt: number): void => {}): GrantedLeases {
    const { formerOrdersMilliseconds, leaseMilliseconds, verifiedMilliseconds } = dutyConstants;
    const startedAt = clock.now();
    const leases = new Map<string, GrantedLease>();
    /** Time at which the last lease of the previous holder has ended. */
    let formerLeasesEndAt = -Infinity;
    /** Time at which the last order of the previous holder has taken effect. */
    let formerOrdersEndAt = -Infinity;
    let mayGrant = true;

    function startHolding(predecessor: Predecessor): void {
        const now = clock.now();
        leases.clear();
        mayGrant = false;
        onStart(lastLeaseAt(predecessor));
        formerLeasesEndAt = lastLeaseAt(predecessor) + leaseMilliseconds;
        formerOrdersEndAt = predecessor === Predecessor.HandedOver
            ? now
            : (predecessor === Predecessor.OwnFormerProcess ? startedAt : now) + formerOrdersMilliseconds;
    }

    /** Time after which a predecessor grants no lease. */
    function lastLeaseAt(predecessor: Predecessor): number {
        // An earlier process of this VM had ended when this one started.
        return predecessor === Predecessor.OwnFormerProcess
            ? startedAt
            : clock.now() + (predecessor === Predecessor.HandedOver ? 0 : verifiedMilliseconds);
    }

    function hasFormerLeases(): boolean {
        return clock.now() < formerLeasesEndAt;
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
        startHolding,
        startGranting: () => {
            mayGrant = true;
        },
        isGranting: () => mayGrant && clock.now() >= formerOrdersEndAt,
        endOfFormerOrders: () => formerOrdersEndAt,
        recordContact: (vm, isGranted) => {
            if (isGranted) {
                leases.set(vm.name, { vm, grantedAt: clock.now() });
            }
        },
        listPossibleVms,
        // The previous holder may have granted leases to VMs that this one does not know yet.
        endOfLeases: vms => Math.max(formerLeasesEndAt, formerOrdersEndAt, ...vms.map(endOf)),
    };
}
