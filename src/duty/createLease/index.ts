import type { Clock } from "../../clock/types/Clock.js";
import { dutyConstants } from "../constants.js";

/** The time for which a VM relies on what the holder told it. */
interface Lease {
    /** A question is about to be sent. */
    prepare(): void;
    /** The question was answered: the lease counts from the moment before it was sent. */
    grant(): void;
    isHeld(): boolean;
}

/**
 * Creates a lease that counts from before the question, so that delays only shorten it.
 *
 * The monotonic clock may stand still while the machine is suspended, so the wall clock has to agree that the lease
 * has not run out. A wall clock set forward ends the lease until the next answer; that costs little.
 *
 * @param clock Source of both times.
 * @returns The lease, not held.
 *
 * @example
 * lease.prepare();
 * await ask();
 * lease.grant();
 */
export function createLease(clock: Clock): Lease {
    let prepared = { now: -Infinity, wall: -Infinity };
    let granted = prepared;

    return {
        prepare: () => {
            prepared = { now: clock.now(), wall: clock.wallTime() };
        },
        grant: () => {
            granted = prepared;
        },
        isHeld: () =>
            clock.now() - granted.now < dutyConstants.leaseMilliseconds
            && clock.wallTime() - granted.wall < dutyConstants.leaseMilliseconds,
    };
}
