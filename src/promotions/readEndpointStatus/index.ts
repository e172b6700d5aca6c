import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import type { ReplicaStatus } from "../../statements/types/ReplicaStatus.js";
import { promotionConstants } from "../constants.js";
import type { EndpointControl } from "../types/EndpointControl.js";

/**
 * Queries the status of an endpoint in its group, through any VM that can reach it.
 *
 * @param control Sends the query to the endpoint.
 * @param endpointId The endpoint.
 * @returns The status; undefined when the answer has none.
 * @throws When no VM got an answer in time.
 *
 * @example
 * const status = await readEndpointStatus(control, "i-7");
 */
export async function readEndpointStatus(
    control: Pick<EndpointControl, "runFromAnyVm">,
    endpointId: string,
): Promise<ReplicaStatus | undefined> {
    const [answer] = await control.runFromAnyVm({
        endpointId,
        statements: [{ kind: OutgoingKind.ReadStatus }],
        timeoutMilliseconds: promotionConstants.queryTimeoutMilliseconds,
    });
    return answer?.replicaStatus;
}
