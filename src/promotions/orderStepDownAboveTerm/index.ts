import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import { orderStepDown } from "../orderStepDown/index.js";
import type { EndpointControl } from "../types/EndpointControl.js";

/**
 * Orders the current primary to step down before another endpoint is promoted. An endpoint ignores an order whose term
 * is not above its own; it is then ordered once more, with a term above the one that it reported.
 *
 * @param control Sends the order to the endpoint.
 * @param endpointId The endpoint.
 * @param expectedTerm One above the highest term known to this VM.
 * @returns The endpoint's last answer.
 * @throws When no VM got an answer in time.
 *
 * @example
 * const { replicaStatus } = await orderStepDownAboveTerm(control, "i-7", 4);
 */
export async function orderStepDownAboveTerm(
    control: Pick<EndpointControl, "runFromAnyVm">,
    endpointId: string,
    expectedTerm: number,
): Promise<StatementAnswer> {
    const answer = await orderStepDown(control, endpointId, expectedTerm);
    const status = answer.replicaStatus;
    return status?.isPrimary === true && status.term >= expectedTerm
        ? await orderStepDown(control, endpointId, status.term + 1)
        : answer;
}
