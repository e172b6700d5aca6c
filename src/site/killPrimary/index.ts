import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { LoadFault } from "../../load/types/LoadFault.js";
import { changeEndpointSwitches } from "../changeEndpointSwitches/index.js";
import { findPrimary } from "../findPrimary/index.js";
import type { SiteEndpoint } from "../types/SiteEndpoint.js";
import type { SitePlan } from "../types/SitePlan.js";

/**
 * Kills the primary of a database: all its connections are closed and refused; its log is kept.
 *
 * @param plan The site.
 * @param database The database.
 * @param mark Records the fault with the current time.
 * @returns The killed endpoint.
 * @throws TarragonpostError of kind `NotFound` when the database has no primary.
 *
 * @example
 * const killed = await killPrimary(site.plan, "stock", mark);
 */
export async function killPrimary(
    plan: SitePlan,
    database: string,
    mark: (fault: Omit<LoadFault, "at">) => void,
): Promise<SiteEndpoint> {
    const primary = await findPrimary(plan, database);
    if (primary === undefined) {
        throw createError(ErrorKind.NotFound, `Database ${database} has no primary with a follower.`, {
            remedy: "Wait for a primary before killing it.",
        });
    }
    mark({ text: `primary ${primary.name} killed`, database });
    await changeEndpointSwitches(primary, { isKilled: true });
    return primary;
}
