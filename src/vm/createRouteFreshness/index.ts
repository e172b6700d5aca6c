import type { Clock } from "../../clock/types/Clock.js";
import type { Duty } from "../../duty/types/Duty.js";
import { vmConstants } from "../constants.js";

/**
 * Creates the judgement whether a VM that has started knows the routes that the other VMs know: as soon as one of them has
 * answered, or when so much time has passed that the holder of the failover duty has heard from the others.
 *
 * @param clock Source of time; the process starts now.
 * @param duty This VM's part in the failover duty.
 * @returns Whether the VM knows the newest routes.
 *
 * @example
 * const hasNewestRoutes = createRouteFreshness(clock, duty);
 */
export function createRouteFreshness(clock: Clock, duty: Pick<Duty, "heldToken" | "isInContact">): () => boolean {
    const startedAt = clock.now();
    let isFresh = false;

    return () => {
        const isAnswered = duty.isInContact() && duty.heldToken() === undefined;
        isFresh ||= isAnswered || clock.now() - startedAt >= vmConstants.routeExchangeMilliseconds;
        return isFresh;
    };
}
