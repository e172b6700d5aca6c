import { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import type { EndpointLease } from "../../placement/types/EndpointLease.js";
import { callerSessionConstants } from "../constants.js";
import { readFloor } from "../readFloor/index.js";
import type { LeaseRequest } from "../types/LeaseRequest.js";
import type { PlacedLease } from "../types/PlacedLease.js";
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
 * const { connection, leastPosition } = await acquireLease(request, services);
 */
export async function acquireLease(request: LeaseRequest, services: SessionServices): Promise<PlacedLease> {
    const { route } = request;
    if (!request.isReadOnly || route.guarantee === ReadGuarantee.Primary) {
        return { lease: await acquireFrom(request, true, services), leastPosition: undefined };
    }
    services.renewal.renewIfOld(route.group, route.maximumStalenessMilliseconds);
    if (findCurrentLeastPosition(request, services) === undefined) {
        await services.renewal.renew(route.group);
    }
    const needsPrimary = findCurrentLeastPosition(request, services) === undefined;
    const connection = await acquireFrom(request, needsPrimary, services);
    if (connection.isPrimary) {
        return { lease: connection, leastPosition: undefined };
    }
    const leastPosition = findCurrentLeastPosition(request, services);
    if (leastPosition !== undefined) {
        return { lease: connection, leastPosition };
    }
    connection.release();
    return { lease: await acquireFrom(request, true, services), leastPosition: undefined };
}

function findCurrentLeastPosition({ route, session, receivedAt }: LeaseRequest, services: SessionServices) {
    return readFloor(route, session, receivedAt, services);
}

function acquireFrom(
    { route, session, expiresAt, excluded }: LeaseRequest,
    needsPrimary: boolean,
    { clock, placement }: SessionServices,
): Promise<EndpointLease> {
    const now = clock.now();
    return placement.acquire({
        group: route.group,
        needsPrimary,
        priority: route.priority,
        expiresAt: now + callerSessionConstants.waitShare * Math.max(expiresAt - now, 0),
        excluded,
        values: session.values,
    });
}
