import type { SessionServices } from "../types/SessionServices.js";

/** State of a group as this VM knows it, for log lines about its statements. */
interface GroupDescription {
    readonly group: string;
    readonly routingVersion: number;
    /** Id of the known primary; undefined while there is none. */
    readonly primary: string | undefined;
    readonly term: number;
    /** Age of the newest evidence of the primary's position, in milliseconds; undefined without any. */
    readonly evidenceAge: number | undefined;
}

/**
 * Describes the state of a group as this VM knows it.
 *
 * @param group The group that a statement was routed to.
 * @param services Services that hold the state.
 * @returns Known primary, term and age of the evidence, for a log line.
 *
 * @example
 * log("statement failed", { id, ...describeGroup(route.group, services) });
 */
export function describeGroup(
    group: string,
    { directory, primaries, evidence }: Pick<SessionServices, "directory" | "primaries" | "evidence">,
): GroupDescription {
    const age = evidence.newestAge(group);
    return {
        group,
        routingVersion: directory.routingVersion(),
        primary: primaries.primaryOf(group)?.id,
        term: primaries.termOf(group),
        evidenceAge: age === undefined ? undefined : Math.round(age),
    };
}
