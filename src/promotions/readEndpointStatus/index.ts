import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import type { ReplicaStatus } from "../../statements/types/ReplicaStatus.js";
import { promotionConstants } from "../constants.js";
import type { EndpointControl } from "../types/EndpointControl.js";

/**
 * Asks an endpoint, through any VM that reaches it, for its place in its group.
 *
 * @param control The way to endpoints.
 * @param endpointId The endpoint.
 * @returns Its place; undefined when it answered something else.
 * @throws When no VM had an answer in time.
 *
 * @example
 * const status = await readEndpointStatus(control, "i-7");
 */
export async function readEndpointStatus(
    control: Pick<EndpointControl, "runFromAnywhere">,
    endpointId: string,
): Promise<ReplicaStatus | undefined> {
    const [answer] = await control.runFromAnywhere({
        endpointId,
        statements: [{ kind: OutgoingKind.ReadStatus }],
        timeoutMilliseconds: promotionConstants.questionMilliseconds,
    });
    return answer?.replicaStatus;
}
