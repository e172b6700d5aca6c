import type { Clock } from "../../clock/types/Clock.js";
import { directoryConstants } from "../constants.js";
import type { StoreNews } from "../types/StoreNews.js";

/**
 * Creates the record of how recent a VM's knowledge is: when the store last answered it, or another VM that told it
 * everything it knew.
 *
 * @param clock Source of time.
 * @returns The record; nothing has answered yet.
 *
 * @example
 * if (!news.isFresh()) { await watchStore(); }
 */
export function createStoreNews(clock: Clock): StoreNews {
    /** When each feed of the store answered this VM last. */
    const answeredAt = new Map<string, number>();
    let toldAt = -Infinity;

    function newestAt(): number {
        const own = answeredAt.size === 0 ? -Infinity : Math.min(...answeredAt.values());
        return Math.max(own, toldAt);
    }

    return {
        noteAnswer: feed => {
            answeredAt.set(feed, clock.now());
        },
        learn: (ageMilliseconds, askedAt) => {
            toldAt = Math.max(toldAt, askedAt - ageMilliseconds);
        },
        ageMilliseconds: () => Math.min(clock.now() - newestAt(), directoryConstants.greatestNewsMilliseconds),
        isFresh: () => clock.now() - newestAt() < directoryConstants.newsMilliseconds,
    };
}
