import { findDatabaseEndpoint } from "../../configuration/findDatabaseEndpoint/index.js";
import { createNotRun } from "../../messages/createNotRun/index.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import type { NotRunReply } from "../../messages/types/NotRunReply.js";
import type { EndpointCheck } from "../types/EndpointCheck.js";
import type { RequestServices } from "../types/RequestServices.js";

/**
 * Checks with this gateway's local state whether an endpoint accepts new work under a term.
 *
 * The endpoint has the final decision; this check avoids sending work that it would refuse.
 *
 * @param services Configuration and topology.
 * @param check Database, endpoint and term.
 * @param isInGracePeriod Whether a leaving endpoint still accepts work.
 * @returns The refusal, or undefined when the work may be sent.
 *
 * @example
 * const refusal = checkEndpoint(services, request, isInGracePeriod);
 */
export function checkEndpoint(
    services: Pick<RequestServices, "configuration" | "topology">,
    check: EndpointCheck,
    isInGracePeriod: (check: EndpointCheck) => boolean,
): NotRunReply | undefined {
    const { database, endpoint, term } = check;
    const { configuration, topology } = services;
    if (findDatabaseEndpoint(configuration.current().content, database, endpoint) === undefined) {
        const message = `Database ${database} has no endpoint ${endpoint}. Read the configuration in force again.`;
        return createNotRun(NotRunReason.UnknownDatabase, message);
    }
    const knownTerm = topology.groupOf(database)?.term ?? 0;
    if (knownTerm > term) {
        const message = `Term ${term} of ${database} was superseded. Send the request under term ${knownTerm}.`;
        return createNotRun(NotRunReason.WrongTerm, message, { newerTerm: knownTerm });
    }
    if (topology.isLeaving(endpoint) && !isInGracePeriod(check)) {
        const message = `Endpoint ${endpoint} is leaving. Send the request to another endpoint of ${database}.`;
        return createNotRun(NotRunReason.Leaving, message);
    }
    return undefined;
}
