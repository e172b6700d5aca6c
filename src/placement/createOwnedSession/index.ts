import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { EndpointSession } from "../../statements/types/EndpointSession.js";
import { placementConstants } from "../constants.js";
import type { OpeningWish } from "../types/OpeningWish.js";
import type { OwnedSession } from "../types/OwnedSession.js";

/**
 * Creates the pool's record of a connection that was just opened.
 *
 * @param session The connection.
 * @param endpoint The endpoint as it was known when the opening began.
 * @param wish In whose name it was opened, and how urgently.
 * @param now Time on the process's clock in milliseconds.
 * @returns The record of a connection that has served nothing.
 *
 * @example
 * const owned = createOwnedSession(session, endpoint, { owner: "museum-shops", priority: 1 }, clock.now());
 */
export function createOwnedSession(
    session: EndpointSession,
    endpoint: Pick<EndpointRecord, "startedAt">,
    { owner, priority }: OpeningWish,
    now: number,
): OwnedSession {
    return {
        session,
        owner,
        priority,
        openedAt: now,
        // One that no statement waits for may yield as if it had served.
        lastServedAt: priority === placementConstants.aheadPriority ? now : undefined,
        isServingOwner: false,
        endpointStartedAt: endpoint.startedAt,
        idleSince: now,
        values: new Map(),
        prepared: new Set(),
    };
}
