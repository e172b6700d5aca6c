import type { SessionServices } from "../types/SessionServices.js";

/** What a decision about a statement rested on, for its log line. */
interface GroupDescription {
    readonly group: string;
    readonly routingVersion: number;
    /** The endpoint believed to be the primary; undefined while none is. */
    readonly primary: string | undefined;
    readonly term: number;
    /** Age of the newest evidence of the primary's position, in milliseconds; undefined without any. */
    readonly evidenceAge: number | undefined;
}

/**
 * Describes what a decision about a statement rested on.
 *
 * @param group The group that the statement was meant for.
 * @param services What this VM knows.
 * @returns The belief and its age, for a log line.
 *
 * @example
 * log("statement was not placed", { id, ...describeGroup(route.group, services) });
 */
export function describeGroup(
    group: string,
    { clock, directory, primaries, evidence }: Pick<SessionServices, "clock" | "directory" | "primaries" | "evidence">,
): GroupDescription {
    const askedAt = evidence.newestAskedAt(group);
    return {
        group,
        routingVersion: directory.version(),
        primary: primaries.primaryOf(group)?.id,
        term: primaries.termOf(group),
        evidenceAge: askedAt === undefined ? undefined : Math.round(clock.now() - askedAt),
    };
}
