import type { Clock } from "../../clock/types/Clock.js";
import { directoryConstants } from "../constants.js";
import type { StoreNews } from "../types/StoreNews.js";

/**
 * Creates the record of the freshness of a VM's data from the store: the time of the store's last answer, or the age of
 * the data that another VM sent, whichever is newer.
 *
 * @param clock Source of time.
 * @returns The record, without any answer.
 *
 * @example
 * if (!freshness.isFresh()) { await watchStore(); }
 */
export function createStoreNews(clock: Clock): StoreNews {
    /** When each feed of the store last answered this VM. */
    const answeredAt = new Map<string, number>();
    /** Time at which the newest data that another VM sent was up to date. */
    let receivedDataAt = -Infinity;

    function newestAt(): number {
        const own = answeredAt.size === 0 ? -Infinity : Math.min(...answeredAt.values());
        return Math.max(own, receivedDataAt);
    }

    return {
        noteAnswer: feed => {
            answeredAt.set(feed, clock.now());
        },
        learn: (ageMilliseconds, requestedAt) => {
            receivedDataAt = Math.max(receivedDataAt, requestedAt - ageMilliseconds);
        },
        ageMilliseconds: () => Math.min(clock.now() - newestAt(), directoryConstants.greatestNewsMilliseconds),
        isFresh: () => clock.now() - newestAt() < directoryConstants.newsMilliseconds,
    };
}
