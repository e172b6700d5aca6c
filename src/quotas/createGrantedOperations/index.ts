import type { Clock } from "../../clock/types/Clock.js";
import type { Quota } from "../../workspaces/types/Quota.js";
import { quotaConstants } from "../constants.js";
import type { HeldQuotaGrant } from "../types/HeldQuotaGrant.js";
import type { QuotaGrant } from "../types/QuotaGrant.js";

/** The operations that a VM holds of the quota of one workspace. */
interface GrantedOperations {
    /**
     * Applies a grant; one that only continues its predecessor is ignored when that has ended.
     *
     * @param grant The grant.
     * @param elapsed Returns the time since before the demand was sent, in milliseconds.
     * @param isContinuation Whether the grant only continues the present one.
     */
    apply(grant: QuotaGrant, elapsed: () => number, isContinuation: boolean): void;
    /** Ends the grant at once; what was not used is lost. */
    end(): void;
    /** Takes one operation; returns the function that gives it back, or undefined when none is held. */
    take(quota: Quota): (() => void) | undefined;
    /** Returns the grant while it has not ended. */
    current(): QuotaGrant | undefined;
    /** Returns the operations that are held. */
    count(): number;
    /** Returns what a new holder has to know of the grant. */
    describe(): HeldQuotaGrant | undefined;
    /** Time until so many operations are held, in milliseconds; infinite without a grant. */
    timeUntil(operations: number): number;
}

const millisecondsPerSecond = 1_000;

/**
 * Creates the operations that a VM holds of the quota of one workspace. They grow by the rate of the grant up to its
 * maximum, and are lost when the grant ends.
 *
 * The end is measured from before the demand was sent, by a time that counts suspension. The growth is measured by the
 * monotonic clock, which never runs ahead.
 *
 * @param clock Source of monotonic time.
 * @param windowMilliseconds Window in which the excess is bounded, in milliseconds; no grant lasts longer.
 * @returns The operations, none held.
 *
 * @example
 * const giveBack = granted.take(quota);
 */
export function createGrantedOperations(clock: Pick<Clock, "now">, windowMilliseconds: number): GrantedOperations {
    const durationMilliseconds = Math.min(quotaConstants.grantMilliseconds, windowMilliseconds);
    let grant: QuotaGrant | undefined;
    let sinceSent = (): number => Infinity;
    let held = 0;
    let grownAt = clock.now();
    /** How often operations were lost, by the maximum or at the end of a grant. */
    let lossCount = 0;

    function end(): void {
        grant = undefined;
        held = 0;
        lossCount += 1;
    }

    function current(): QuotaGrant | undefined {
        if (grant !== undefined && sinceSent() >= durationMilliseconds) {
            end();
        }
        return grant;
    }

    function grow(): void {
        const now = clock.now();
        const valid = current();
        if (valid !== undefined) {
            add((now - grownAt) * valid.operationsPerSecond / millisecondsPerSecond, valid.maximumOperations);
        }
        grownAt = now;
    }

    function add(operations: number, maximum: number): void {
        held += operations;
        if (held > maximum) {
            held = maximum;
            lossCount += 1;
        }
    }

    function apply(next: QuotaGrant, elapsed: () => number, isContinuation: boolean): void {
        grow();
        if (isContinuation && grant === undefined) {
            return;
        }
        grant = next;
        sinceSent = elapsed;
        add(next.operations, next.maximumOperations);
        current();
    }

    function take({ operationsPerSecond, burstOperations }: Quota): (() => void) | undefined {
        grow();
        limit(operationsPerSecond, Math.max(1, burstOperations));
        if (held < 1) {
            return undefined;
        }
        held -= 1;
        const lossCountBefore = lossCount;
        let isGivenBack = false;
        return () => {
            grow();
            // Where operations were lost since, it would have been lost as well.
            if (!isGivenBack && grant !== undefined && lossCount === lossCountBefore) {
                add(1, grant.maximumOperations);
            }
            isGivenBack = true;
        };
    }

    /** Keeps a grant within a quota that was lowered since. */
    function limit(operationsPerSecond: number, maximumOperations: number): void {
        if (grant !== undefined) {
            grant = {
                ...grant,
                operationsPerSecond: Math.min(grant.operationsPerSecond, operationsPerSecond),
                maximumOperations: Math.min(grant.maximumOperations, maximumOperations),
            };
            held = Math.min(held, grant.maximumOperations);
        }
    }

    return {
        apply,
        end,
        take,
        current,
        count: () => {
            grow();
            return held;
        },
        describe: () => {
            const { operationsPerSecond, maximumOperations, quota } = current() ?? {};
            return quota && { operationsPerSecond: operationsPerSecond!, maximumOperations: maximumOperations!, quota };
        },
        timeUntil: operations => {
            grow();
            const lacking = Math.max(0, operations - held);
            if (lacking === 0) {
                return 0;
            }
            return grant === undefined || grant.maximumOperations < 1
                ? Infinity
                : lacking * millisecondsPerSecond / grant.operationsPerSecond;
        },
    };
}
