import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { AnswerBudget } from "../../memory/types/AnswerBudget.js";
import { openEndpointSession } from "../../platform/openEndpointSession/index.js";
import type { EndpointSession } from "../../statements/types/EndpointSession.js";

/**
 * Opens a connection to an endpoint.
 *
 * @param endpoint The endpoint.
 * @param owner Name under which the connection is opened: a workspace, or `anonymousOwner`.
 * @param timeoutMilliseconds Timeout of opening.
 * @param answerBudget Bounds the bytes of answers that arrive.
 * @returns The connection.
 * @throws TarragonpostError, as thrown by `openEndpointSession`.
 *
 * @example
 * const session = await openEndpoint(endpoint, "museum-shops", 1_500, budget);
 */
export function openEndpoint(
    endpoint: EndpointRecord,
    owner: string,
    timeoutMilliseconds: number,
    answerBudget: AnswerBudget,
): Promise<EndpointSession> {
    const { address, group, id: endpointId } = endpoint;
    return openEndpointSession({ address, group, owner, endpointId, timeoutMilliseconds, answerBudget });
}
