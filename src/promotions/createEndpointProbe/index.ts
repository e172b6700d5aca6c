import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Placement } from "../../placement/types/Placement.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import { promotionConstants } from "../constants.js";
import { queryEndpointRole } from "../queryEndpointRole/index.js";
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
 * Creates the probe that determines whether a VM can reach an endpoint.
 *
 * Answers to callers' statements count; without a recent one the endpoint is queried. A query that gets no connection
 * does not make an endpoint unreachable while other answers arrive, so an endpoint under load does not count as failed.
 *
 * @param options Clock, connections and control.
 * @returns Determines whether this VM can reach an endpoint.
 *
 * @example
 * const isReachable = await probe("i-7");
 */
export function createEndpointProbe(options: EndpointProbeOptions): (endpointId: string) => Promise<boolean> {
    const { clock, directory, placement, primaries, control, log } = options;

    function hasAnsweredRecently(endpointId: string): boolean {
        return clock.now() - placement.lastContactAt(endpointId) < promotionConstants.recentAnswerMilliseconds;
    }

    return async endpointId => {
        if (hasAnsweredRecently(endpointId)) {
            return true;
        }
        try {
            const { isPrimary, position } = await queryEndpointRole(control.run, endpointId);
            const endpoint = directory.endpoint(endpointId);
            if (isPrimary === false && endpoint !== undefined) {
                primaries.recordNotPrimary(endpoint);
            }
            if (position !== undefined && endpoint !== undefined) {
                const record = isPrimary === true ? primaries.recordPositionAsPrimary : primaries.recordPosition;
                record(endpoint, position);
            }
            return true;
        }
        catch (error) {
            const isReachable = hasAnsweredRecently(endpointId);
            log("endpoint did not answer a query", {
                endpoint: endpointId,
                isReachable,
                reason: (error as Error).message,
            });
            return isReachable;
        }
    };
}
