import type { Clock } from "../../clock/types/Clock.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { promotionConstants } from "../constants.js";
import { queryEndpointRole } from "../queryEndpointRole/index.js";
import { readEndpointStatus } from "../readEndpointStatus/index.js";
import type { CandidateStatus } from "../types/CandidateStatus.js";
import type { EndpointControl } from "../types/EndpointControl.js";

/** Options of `waitForPromotion`. */
interface PromotionWaitOptions {
    readonly clock: Clock;
    readonly control: Pick<EndpointControl, "runFromAnyVm">;
    /** Whether the platform answered the order to promote the endpoint. */
    readonly isAnswered: boolean;
}

/**
 * Waits until the promotion of an endpoint has taken effect. An endpoint that led before the order starts a new term,
 * unless it is the primary already: an answered order then leaves its term unchanged.
 *
 * @param successor The endpoint, and its status before the order.
 * @param options Clock, control, and whether the order was answered.
 * @returns The term in which the endpoint leads.
 * @throws TarragonpostError of kind `DeadlineExceeded` when the promotion does not take effect in time.
 *
 * @example
 * const term = await waitForPromotion(successor, { clock, control, isAnswered: true });
 */
export async function waitForPromotion(
    { endpoint: { id }, status: before }: CandidateStatus,
    { clock, control, isAnswered }: PromotionWaitOptions,
): Promise<number> {
    const orderedAt = clock.now();
    const deadline = orderedAt + promotionConstants.promotionTimeoutMilliseconds;
    while (clock.now() < deadline) {
        await clock.sleep(promotionConstants.pollingMilliseconds);
        const hasTakenEffect = clock.now() - orderedAt >= promotionConstants.longestPromotionMilliseconds;
        const role = await queryEndpointRole(control.runFromAnyVm, id).catch(() => undefined);
        const status = role?.isPrimary === true
            ? await readEndpointStatus(control, id).catch(() => undefined)
            : undefined;
        if (status?.isPrimary !== true) {
            continue;
        }
        const isPromoted = !before.isPrimary || status.term > before.term;
        if (isPromoted || isAnswered && hasTakenEffect) {
            return status.term;
        }
    }
    throw createError(
        ErrorKind.DeadlineExceeded,
        `Endpoint ${id} did not become the primary in time after its promotion.`,
        {
            remedy: "The change is attempted again.",
        },
    );
}
