import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import { promotionConstants } from "../constants.js";
import type { EndpointControl } from "../types/EndpointControl.js";

/**
 * Has an endpoint, through any VM that reaches it, cease to be the primary of an older term.
 *
 * @param control The way to endpoints.
 * @param endpointId The endpoint.
 * @param term The term that replaces its own.
 * @returns Its answer.
 * @throws When no VM had an answer in time.
 *
 * @example
 * const answer = await orderStepDown(control, "i-7", 4);
 */
export async function orderStepDown(
    control: Pick<EndpointControl, "runFromAnywhere">,
    endpointId: string,
    term: number,
): Promise<StatementAnswer | undefined> {
    const [answer] = await control.runFromAnywhere({
        endpointId,
        statements: [{ kind: OutgoingKind.StepDown, term }],
        timeoutMilliseconds: promotionConstants.questionMilliseconds,
    });
    return answer;
}
