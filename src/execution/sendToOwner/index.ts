import { isTypedError } from "../../errors/isTypedError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { createNotRun } from "../../messages/createNotRun/index.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { executionConstants } from "../constants.js";
import type { ExecutionContext } from "../types/ExecutionContext.js";

/** Errors that occur only before a request was sent. */
const unsentKinds = [ErrorKind.Unreachable, ErrorKind.PeerRejected, ErrorKind.ProtocolMismatch] as const;

/**
 * Sends a request to the gateway that owns an endpoint, or to the next owner when the first is unreachable.
 *
 * @param context Topology and observations.
 * @param endpoint Name of the endpoint.
 * @param send Sends the request to one gateway.
 * @returns The gateway's reply; `EndpointUnavailable` if no owner was reachable, `OutcomeUnknown` if an answer was lost.
 *
 * @example
 * const reply = await sendToOwner(context, "stock-1", gateway => context.gateways.execute(gateway, request));
 */
export async function sendToOwner<Reply>(
    context: ExecutionContext,
    endpoint: string,
    send: (gateway: PeerRecord) => Promise<Reply>,
): Promise<Reply | Exclude<EndpointReply, { readonly outcome: OutcomeKind.Answer; }>> {
    for (const gateway of listOwners(context, endpoint)) {
        try {
            return await send(gateway);
        }
        catch (error) {
            context.observations.recordFailure(gateway.name);
            const typed = toTypedError(error);
            if (!unsentKinds.some(kind => isTypedError(typed, kind))) {
                return { outcome: OutcomeKind.OutcomeUnknown, message: typed.message };
            }
        }
    }
    return createNotRun(
        NotRunReason.EndpointUnavailable,
        `No gateway that can reach ${endpoint} answered. Retry in a moment, or check \`tarragonpost status\`.`,
    );
}

function* listOwners(context: ExecutionContext, endpoint: string): Generator<PeerRecord> {
    const owners = context.topology.ownersOf(endpoint).slice(0, 2 * executionConstants.ownersPerAttempt);
    const hasFailed = (owner: PeerRecord): boolean => context.observations.hasFailedRecently(owner.name);
    const ordered = [...owners.filter(owner => !hasFailed(owner)), ...owners.filter(hasFailed)];
    yield* ordered.slice(0, executionConstants.ownersPerAttempt);
}
