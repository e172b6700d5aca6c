import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { EndpointSession } from "../../statements/types/EndpointSession.js";
import type { OwnedSession } from "../types/OwnedSession.js";

/**
 * Creates a pool's record of a connection that has just been opened.
 *
 * @param session The connection.
 * @param record The endpoint that accepted it.
 * @param owner In whose name it was opened.
 * @param openedAt When it was opened, on the process's clock in milliseconds.
 * @returns The record; nothing is set or prepared on the connection.
 *
 * @example
 * const owned = createOwnedSession(session, record, "museum-shops", clock.now());
 */
export function createOwnedSession(
    session: EndpointSession,
    record: Pick<EndpointRecord, "startedAt">,
    owner: string,
    openedAt: number,
): OwnedSession {
    return {
        session,
        owner,
        openedAt,
        lastServedAt: undefined,
        isServingOwner: false,
        endpointStartedAt: record.startedAt,
        idleSince: openedAt,
        values: new Map(),
        prepared: new Set(),
    };
}
