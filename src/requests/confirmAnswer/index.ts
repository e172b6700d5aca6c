import { ConfirmationOutcome } from "../../confirmation/types/ConfirmationOutcome.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { createUnknownOutcome } from "../createUnknownOutcome/index.js";
import type { RequestServices } from "../types/RequestServices.js";

/** The position to be confirmed and the deadline. */
interface AwaitedPosition {
    readonly database: string;
    readonly term: number;
    readonly position: number;
    readonly deadlineAt: number;
}

const unconfirmedCauses: Record<Exclude<ConfirmationOutcome, ConfirmationOutcome.Confirmed>, string> = {
    [ConfirmationOutcome.Superseded]: "Its term ended before a majority confirmed the position.",
    [ConfirmationOutcome.TimedOut]: "No majority confirmed the position before the deadline.",
};

/**
 * Holds a reply back until a majority of the group confirmed its position in the term that it was routed under.
 *
 * A confirmed answer names the replica that confirmed it.
 *
 * @param services Clock and confirmation.
 * @param awaited Database, term, position and the deadline on the monotonic clock.
 * @param reply The reply to return once the position is confirmed.
 * @returns The reply, or `OutcomeUnknown` when the position was not confirmed.
 *
 * @example
 * return await confirmAnswer(services, { database, term, position: answer.position, deadlineAt }, reply);
 */
export async function confirmAnswer(
    services: Pick<RequestServices, "clock" | "confirmation">,
    awaited: AwaitedPosition,
    reply: EndpointReply,
): Promise<EndpointReply> {
    const { database, term, position, deadlineAt } = awaited;
    const timeLeft = Math.max(deadlineAt - services.clock.now(), 0);
    const confirmed = await services.confirmation.waitUntilConfirmed(database, term, position, timeLeft);
    if (confirmed.outcome !== ConfirmationOutcome.Confirmed) {
        return createUnknownOutcome(unconfirmedCauses[confirmed.outcome]);
    }
    return reply.outcome === OutcomeKind.Answer ? { ...reply, confirmedBy: confirmed.confirmedBy } : reply;
}
