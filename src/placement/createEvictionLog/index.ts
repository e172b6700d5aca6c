import type { Clock } from "../../clock/types/Clock.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { placementConstants } from "../constants.js";

/** An eviction, as it is logged. */
interface Eviction {
    /** Id of the endpoint. */
    readonly endpoint: string;
    readonly evictedOwner: string;
    readonly newOwner: string;
    /** Time since the closed connection was last used. */
    readonly idleMilliseconds: number;
}

/**
 * Creates the log of evictions at one endpoint, which omits lines that follow too soon and counts them in the next one.
 *
 * @param clock Source of time.
 * @param log Receives the lines.
 * @returns Logs an eviction.
 *
 * @example
 * logEviction({ endpoint: "i-7", evictedOwner: "museum-shops", newOwner: "fan-clubs", idleMilliseconds: 800 });
 */
export function createEvictionLog(clock: Clock, log: LogTopic): (eviction: Eviction) => void {
    let quietUntil = -Infinity;
    let omittedCount = 0;

    return eviction => {
        if (clock.now() < quietUntil) {
            omittedCount += 1;
            return;
        }
        log("idle connection was closed to make room for another owner", { ...eviction, omittedCount });
        quietUntil = clock.now() + placementConstants.evictionLogMilliseconds;
        omittedCount = 0;
    };
}
