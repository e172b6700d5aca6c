import type { Clock } from "../../clock/types/Clock.js";

/** The owners that need a connection and found no room for it. */
interface OpeningWishes {
    /** Records that an owner needs a connection until a time on the clock, in milliseconds. */
    record(owner: string, expiresAt: number): void;
    /** Removes an owner for which a connection is being opened. */
    remove(owner: string): void;
    /** Lists the owners that still need a connection, in the order in which they were recorded. */
    list(): readonly string[];
}

/**
 * Creates the record of the owners that need a connection and found no room for it.
 *
 * @param clock Source of time.
 * @returns The record, empty.
 *
 * @example
 * wishes.record("museum-shops", request.expiresAt);
 */
export function createOpeningWishes(clock: Clock): OpeningWishes {
    const expiryByOwner = new Map<string, number>();

    function list(): readonly string[] {
        const now = clock.now();
        for (const [owner, expiresAt] of expiryByOwner) {
            if (expiresAt <= now) {
                expiryByOwner.delete(owner);
            }
        }
        return [...expiryByOwner.keys()];
    }

    return {
        record: (owner, expiresAt) => {
            expiryByOwner.set(owner, Math.max(expiresAt, expiryByOwner.get(owner) ?? -Infinity));
        },
        remove: owner => expiryByOwner.delete(owner),
        list,
    };
}
