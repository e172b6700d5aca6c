import { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import type { AcquiredConnection } from "../../placement/types/AcquiredConnection.js";
import { callerSessionConstants } from "../constants.js";
import { findLeastPosition } from "../findLeastPosition/index.js";
import type { ConnectionRequest } from "../types/ConnectionRequest.js";
import type { EligibleConnection } from "../types/EligibleConnection.js";
import type { SessionServices } from "../types/SessionServices.js";

/**
 * Acquires a connection to an endpoint that can serve a request: the primary for writes and for reads that must see
 * every commit, otherwise any endpoint, together with the log position that a replica has to hold.
 *
 * @param request Route, session and time limit of the statement or transaction.
 * @param services Placement, and evidence of the primaries' positions.
 * @returns The connection.
 * @throws TarragonpostError of kind `Overloaded` when no connection became available in time.
 *
 * @example
 * const { connection, leastPosition } = await acquireConnection(request, services);
 */
export async function acquireConnection(
    request: ConnectionRequest,
    services: SessionServices,
): Promise<EligibleConnection> {
    const { route } = request;
    if (!request.isReadOnly || route.guarantee === ReadGuarantee.Primary) {
        return { connection: await acquireFrom(request, true, services), leastPosition: undefined };
    }
    services.renewal.renewIfOld(route.group, route.maximumStalenessMilliseconds);
    if (findCurrentLeastPosition(request, services) === undefined) {
        await services.renewal.renew(route.group);
    }
    const needsPrimary = findCurrentLeastPosition(request, services) === undefined;
    const connection = await acquireFrom(request, needsPrimary, services);
    if (connection.isPrimary) {
        return { connection, leastPosition: undefined };
    }
    const leastPosition = findCurrentLeastPosition(request, services);
    if (leastPosition !== undefined) {
        return { connection, leastPosition };
    }
    connection.release();
    return { connection: await acquireFrom(request, true, services), leastPosition: undefined };
}

function findCurrentLeastPosition({ route, session, receivedAt }: ConnectionRequest, services: SessionServices) {
    return findLeastPosition(route, session, receivedAt, services);
}

function acquireFrom(
    { route, session, receivedAt, expiresAt, excluded }: ConnectionRequest,
    needsPrimary: boolean,
    { clock, placement, stop }: SessionServices,
): Promise<AcquiredConnection> {
    const now = clock.now();
    return placement.acquire({
        group: route.group,
        needsPrimary,
        owner: session.identity.owner,
        priority: route.priority,
        expiresAt: now + callerSessionConstants.acquisitionShare * Math.max(expiresAt - now, 0),
        targetAt: receivedAt + route.targetLatencyMilliseconds,
        excluded,
        values: session.values,
        signal: stop.waitsEnd,
    });
}
