import { findDatabaseEndpoint } from "../../configuration/findDatabaseEndpoint/index.js";
import { createNotRun } from "../../messages/createNotRun/index.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import type { NotRunReply } from "../../messages/types/NotRunReply.js";
import type { EndpointCheck } from "../types/EndpointCheck.js";
import type { RequestServices } from "../types/RequestServices.js";

/**
 * Checks that an endpoint may be given new work under a term, from what this gateway knows.
 *
 * The endpoint decides in the end; this check spares it work that it would refuse.
 *
 * @param services Configuration and topology.
 * @param check Database, endpoint and term.
 * @param leaving Whether an endpoint still takes work for a moment although it is leaving.
 * @returns The refusal, or undefined when nothing speaks against it.
 *
 * @example
 * const refusal = checkEndpoint(services, request, grace.isOpenFor);
 */
export function checkEndpoint(
    services: Pick<RequestServices, "configuration" | "topology">,
    check: EndpointCheck,
    leaving: (check: EndpointCheck) => boolean,
): NotRunReply | undefined {
    const { database, endpoint, term } = check;
    const { configuration, topology } = services;
    if (findDatabaseEndpoint(configuration.current().content, database, endpoint) === undefined) {
        const message = `Database ${database} has no endpoint ${endpoint}. Read the configuration in force again.`;
        return createNotRun(NotRunReason.UnknownDatabase, message);
    }
    const knownTerm = topology.groupOf(database)?.term ?? 0;
    if (knownTerm > term) {
        const message = `Term ${term} of ${database} is over. Send the request under term ${knownTerm}.`;
        return createNotRun(NotRunReason.WrongTerm, message, { newerTerm: knownTerm });
    }
    if (topology.isLeaving(endpoint) && !leaving(check)) {
        const message = `Endpoint ${endpoint} is leaving. Send the request to another endpoint of ${database}.`;
        return createNotRun(NotRunReason.Leaving, message);
    }
    return undefined;
}
