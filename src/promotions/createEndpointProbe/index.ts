import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Placement } from "../../placement/types/Placement.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import { promotionConstants } from "../constants.js";
import { isPrimaryAnswering } from "../isPrimaryAnswering/index.js";
import type { EndpointControl } from "../types/EndpointControl.js";

/** Options of `createEndpointProbe`. */
interface EndpointProbeOptions {
    readonly clock: Clock;
    readonly directory: Directory;
    readonly placement: Pick<Placement, "lastContactAt">;
    readonly primaries: Primaries;
    readonly control: EndpointControl;
    readonly log: LogTopic;
}

/**
 * Creates the probe by which a VM tells whether it reaches an endpoint.
 *
 * Answers to callers' statements count; without a recent one the endpoint is asked. A question that found no free
 * connection says nothing while other answers come, so an endpoint under load is not taken for dead.
 *
 * @param options Clock, connections and control.
 * @returns Tells whether this VM reaches an endpoint.
 *
 * @example
 * const isReached = await probe("i-7");
 */
export function createEndpointProbe(options: EndpointProbeOptions): (endpointId: string) => Promise<boolean> {
    const { clock, directory, placement, primaries, control, log } = options;

    function hasAnswered(endpointId: string): boolean {
        return clock.now() - placement.lastContactAt(endpointId) < promotionConstants.freshAnswerMilliseconds;
    }

    return async endpointId => {
        if (hasAnswered(endpointId)) {
            return true;
        }
        try {
            const isLeading = await isPrimaryAnswering(control.run, endpointId);
            const endpoint = directory.endpoint(endpointId);
            if (!isLeading && endpoint !== undefined) {
                primaries.recordNotPrimary(endpoint);
            }
            return true;
        }
        catch (error) {
            const isReached = hasAnswered(endpointId);
            log("endpoint does not answer", { endpoint: endpointId, isReached, reason: (error as Error).message });
            return isReached;
        }
    };
}
