import { startElapsedTimer } from "../../clock/startElapsedTimer/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import { dutyConstants } from "../constants.js";

/** Time for which a VM may rely on the primaries announced by the holder. */
interface Lease {
    /** Records the time before a renewal is sent. */
    prepare(): void;
    /** Grants the lease after the renewal was answered; it starts at the time recorded by `prepare`. */
    grant(): void;
    isHeld(): boolean;
}

/**
 * Creates a lease that starts before the renewal is sent, so that delays only shorten it.
 *
 * The monotonic clock may stop while the VM is suspended, so the lease must not have expired by the wall clock
 * either. A wall clock that is set forward only ends the lease until the next renewal.
 *
 * @param clock Source of monotonic and wall time.
 * @returns The lease, not held yet.
 *
 * @example
 * lease.prepare();
 * await sendRenewal();
 * lease.grant();
 */
export function createLease(clock: Clock): Lease {
    let sinceRenewal = (): number => Infinity;
    let sinceGranted = sinceRenewal;

    return {
        prepare: () => {
            sinceRenewal = startElapsedTimer(clock);
        },
        grant: () => {
            sinceGranted = sinceRenewal;
        },
        isHeld: () => sinceGranted() < dutyConstants.leaseMilliseconds,
    };
}
