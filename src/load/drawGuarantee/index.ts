import { ReadGuarantee } from "../../history/types/ReadGuarantee.js";
import type { LoadServices } from "../types/LoadServices.js";
import type { SessionState } from "../types/SessionState.js";

/**
 * Draws the guarantee of the next read of a session.
 *
 * @param services Services that the sessions share.
 * @param session The session; it is new if it has no token.
 * @returns The guarantee.
 *
 * @example
 * const guarantee = drawGuarantee(services, session);
 */
export function drawGuarantee(services: LoadServices, session: SessionState): ReadGuarantee {
    const { plan, random } = services;
    const drawn = random.next();
    if (drawn < plan.agedShare) {
        return ReadGuarantee.Age;
    }
    if (drawn < plan.agedShare + plan.lostTokenShare) {
        return ReadGuarantee.Latest;
    }
    return session.token === undefined ? ReadGuarantee.Any : ReadGuarantee.Session;
}
