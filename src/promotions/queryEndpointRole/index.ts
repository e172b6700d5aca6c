import type { EndpointCommand } from "../../duty/types/EndpointCommand.js";
import { listRoleQuery } from "../../primaries/listRoleQuery/index.js";
import type { EndpointRole } from "../../primaries/types/EndpointRole.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import { promotionConstants } from "../constants.js";

/**
 * Queries whether an endpoint is the primary.
 *
 * @param run Sends statements to the endpoint.
 * @param endpointId The endpoint.
 * @returns Whether the endpoint is the primary, if it told, and the end of its log.
 * @throws When the endpoint does not answer.
 *
 * @example
 * const { isPrimary } = await queryEndpointRole(control.run, "i-7");
 */
export async function queryEndpointRole(
    run: (command: EndpointCommand) => Promise<readonly StatementAnswer[]>,
    endpointId: string,
): Promise<EndpointRole> {
    const [begin] = await run({
        endpointId,
        statements: listRoleQuery(),
        timeoutMilliseconds: promotionConstants.queryTimeoutMilliseconds,
    });
    if (begin === undefined) {
        return {};
    }
    const { failure, position } = begin;
    if (failure !== undefined && failure.code !== FailureCode.ReadOnly) {
        return { position };
    }
    return { isPrimary: failure === undefined, position };
}
