import type { Clock } from "../../clock/types/Clock.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { placementConstants } from "../constants.js";
import type { PlacementTarget } from "../types/PlacementTarget.js";

/** The pauses of reads at endpoints that refused one. */
interface ReadPauses {
    /** Records that an endpoint lagged; the pause doubles up to a maximum. */
    recordLagging(endpoint: EndpointRecord): void;
    /** Records that an endpoint had no free slot. */
    recordBusy(endpoint: EndpointRecord): void;
}

/**
 * Creates the pauses of reads at endpoints that refused one.
 *
 * @param clock Source of time.
 * @param targetOf Returns the local state of an endpoint.
 * @param onEnd Called after a pause, with the endpoint's group.
 * @returns The pauses.
 *
 * @example
 * readPauses.recordLagging(endpoint);
 */
export function createReadPauses(
    clock: Clock,
    targetOf: (endpoint: EndpointRecord) => PlacementTarget,
    onEnd: (group: string) => void,
): ReadPauses {
    function pause(endpoint: EndpointRecord, milliseconds: number): void {
        targetOf(endpoint).pausedUntil = clock.now() + milliseconds;
        void clock.sleep(milliseconds + 1).then(() => onEnd(endpoint.group));
    }

    function recordLagging(endpoint: EndpointRecord): void {
        const target = targetOf(endpoint);
        const { initialLagPauseMilliseconds, maximumLagPauseMilliseconds } = placementConstants;
        target.lagPauseMilliseconds = Math.min(
            Math.max(2 * target.lagPauseMilliseconds, initialLagPauseMilliseconds),
            maximumLagPauseMilliseconds,
        );
        pause(endpoint, target.lagPauseMilliseconds);
    }

    return {
        recordLagging,
        recordBusy: endpoint => pause(endpoint, placementConstants.busyPauseMilliseconds),
    };
}
