import { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import type { Route } from "../../directory/types/Route.js";
import { comparePositions } from "../../statements/comparePositions/index.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";
import type { SessionContext } from "../types/SessionContext.js";
import type { SessionServices } from "../types/SessionServices.js";

/**
 * Finds the log position that a replica has to hold to serve a read.
 *
 * The position covers every commit that was acknowledged before the oldest state that the read may see, and the
 * session's own commits where the route guarantees them. Any position of the current term covers a commit of an older
 * term, since the promotion decided whether that commit was kept.
 *
 * @param route The route, with the read guarantee and the staleness bound.
 * @param session The session's own commits.
 * @param receivedAt When the read was received.
 * @param services Clock, and evidence of the primaries' positions.
 * @returns The position; undefined when no evidence is recent enough, so that only the primary can serve the read.
 *
 * @example
 * const leastPosition = findLeastPosition(route, session, receivedAt, services);
 */
export function findLeastPosition(
    route: Route,
    session: SessionContext,
    receivedAt: number,
    services: Pick<SessionServices, "clock" | "evidence">,
): LogPosition | undefined {
    const { clock, evidence } = services;
    const maximumAge = route.maximumStalenessMilliseconds + clock.now() - receivedAt;
    const covering = evidence.coveringPosition(route.group, maximumAge);
    const own = route.guarantee === ReadGuarantee.ReadYourWrites ? session.commits.get(route.group) : undefined;
    if (covering === undefined || own === undefined || comparePositions(covering, own) >= 0) {
        return covering;
    }
    return own;
}
