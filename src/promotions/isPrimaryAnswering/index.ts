import type { EndpointCommand } from "../../duty/types/EndpointCommand.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import { promotionConstants } from "../constants.js";

/**
 * Asks an endpoint whether it leads: it begins an empty transaction that could write, which takes none of its slots.
 *
 * @param run Sends statements to the endpoint.
 * @param endpointId The endpoint.
 * @returns Whether it leads.
 * @throws When it does not answer.
 *
 * @example
 * const isLeading = await isPrimaryAnswering(control.run, "i-7");
 */
export async function isPrimaryAnswering(
    run: (command: EndpointCommand) => Promise<readonly StatementAnswer[]>,
    endpointId: string,
): Promise<boolean> {
    const [begin] = await run({
        endpointId,
        statements: [{ kind: OutgoingKind.Begin, isReadOnly: false }, { kind: OutgoingKind.Rollback }],
        timeoutMilliseconds: promotionConstants.questionMilliseconds,
    });
    return begin?.failure === undefined;
}
