import type { Clock } from "../../clock/types/Clock.js";
import type { OpeningWish } from "../types/OpeningWish.js";

/** The owners that need a connection and found no room for it. */
interface OpeningWishes {
    /** Records that an owner needs a connection until a time on the clock, in milliseconds. */
    record(wish: OpeningWish, expiresAt: number): void;
    /** Removes an owner for which a connection is being opened. */
    remove(owner: string): void;
    /** Lists the owners that still need a connection, in the order in which they were recorded. */
    list(): readonly OpeningWish[];
}

/**
 * Creates the record of the owners that need a connection and found no room for it.
 *
 * @param clock Source of time.
 * @returns The record, empty.
 *
 * @example
 * wishes.record({ owner: "museum-shops", priority: 1 }, request.expiresAt);
 */
export function createOpeningWishes(clock: Clock): OpeningWishes {
    const wishes = new Map<string, OpeningWish & { readonly expiresAt: number; }>();

    function list(): readonly OpeningWish[] {
        const now = clock.now();
        for (const { owner, expiresAt } of wishes.values()) {
            if (expiresAt <= now) {
                wishes.delete(owner);
            }
        }
        return [...wishes.values()];
    }

    return {
        record: ({ owner, priority }, expiresAt) => {
            const known = wishes.get(owner);
            wishes.set(owner, {
                owner,
                priority: Math.min(priority, known?.priority ?? Infinity),
                expiresAt: Math.max(expiresAt, known?.expiresAt ?? -Infinity),
            });
        },
        remove: owner => wishes.delete(owner),
        list,
    };
}
