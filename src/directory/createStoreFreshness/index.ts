import type { Clock } from "../../clock/types/Clock.js";
import { directoryConstants } from "../constants.js";
import type { StoreFreshness } from "../types/StoreFreshness.js";

/**
 * Creates the record of the freshness of a VM's data from the store: the time of the store's last answer, or the age of
 * the data that another VM sent, whichever is newer.
 *
 * @param clock Source of time.
 * @returns The record, without any answer.
 *
 * @example
 * if (freshness.ageMilliseconds() > 2_800) { await watchStore(); }
 */
export function createStoreFreshness(clock: Clock): StoreFreshness {
    /** When each feed of the store last answered this VM. */
    const answeredAt = new Map<string, number>();
    /** Time at which the newest data that another VM sent was up to date. */
    let receivedDataAt = -Infinity;

    function newestAt(): number {
        const own = answeredAt.size === 0 ? -Infinity : Math.min(...answeredAt.values());
        return Math.max(own, receivedDataAt);
    }

    return {
        recordAnswer: feed => {
            answeredAt.set(feed, clock.now());
        },
        applyAge: (ageMilliseconds, requestedAt) => {
            receivedDataAt = Math.max(receivedDataAt, requestedAt - ageMilliseconds);
        },
        ageMilliseconds: () => Math.min(clock.now() - newestAt(), directoryConstants.maximumReportedAgeMilliseconds),
    };
}
