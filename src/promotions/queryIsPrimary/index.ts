import type { EndpointCommand } from "../../duty/types/EndpointCommand.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import { promotionConstants } from "../constants.js";

/**
 * Queries whether an endpoint is the primary: only a primary begins a transaction that may write. The transaction stays
 * empty, so it uses no slot of the endpoint.
 *
 * @param run Sends statements to the endpoint.
 * @param endpointId The endpoint.
 * @returns Whether the endpoint is the primary; undefined when it refuses for another reason than not being the primary.
 * @throws When the endpoint does not answer.
 *
 * @example
 * const isPrimary = await queryIsPrimary(control.run, "i-7");
 */
export async function queryIsPrimary(
    run: (command: EndpointCommand) => Promise<readonly StatementAnswer[]>,
    endpointId: string,
): Promise<boolean | undefined> {
    const [begin] = await run({
        endpointId,
        statements: [{ kind: OutgoingKind.Begin, isReadOnly: false }, { kind: OutgoingKind.Rollback }],
        timeoutMilliseconds: promotionConstants.queryTimeoutMilliseconds,
    });
    if (begin === undefined) {
        return undefined;
    }
    const code = begin.failure?.code;
    return code === undefined || (code === FailureCode.ReadOnly ? false : undefined);
}
