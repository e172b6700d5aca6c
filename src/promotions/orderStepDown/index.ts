import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import { promotionConstants } from "../constants.js";
import type { EndpointControl } from "../types/EndpointControl.js";

/**
 * Orders an endpoint, through any VM that can reach it, to stop being the primary of an older term. An endpoint ignores
 * the order if its own term is not older.
 *
 * @param control Sends the order to the endpoint.
 * @param endpointId The endpoint.
 * @param term The term that supersedes the endpoint's own.
 * @returns The endpoint's answer.
 * @throws When no VM got an answer in time.
 *
 * @example
 * const { replicaStatus } = await orderStepDown(control, "i-7", 4);
 */
export async function orderStepDown(
    control: Pick<EndpointControl, "runFromAnyVm">,
    endpointId: string,
    term: number,
): Promise<StatementAnswer> {
    const [answer] = await control.runFromAnyVm({
        endpointId,
        statements: [{ kind: OutgoingKind.StepDown, term }],
        timeoutMilliseconds: promotionConstants.queryTimeoutMilliseconds,
    });
    return answer!;
}
