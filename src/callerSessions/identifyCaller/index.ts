import type { Directory } from "../../directory/types/Directory.js";
import type { Route } from "../../directory/types/Route.js";
import { workspaceConstants } from "../../workspaces/constants.js";
import type { CallerIdentity } from "../types/CallerIdentity.js";

const anonymous: CallerIdentity = { owner: workspaceConstants.anonymousOwner };

/**
 * Finds in whose name a caller's statements run, by the routing table in force now.
 *
 * @param route The route of the caller's database.
 * @param keyDigest Digest of the caller's key.
 * @param directory The routing table's workspaces.
 * @returns The identity; undefined when the route needs a key and no workspace holds this one.
 *
 * @example
 * const identity = identifyCaller(route, keyDigest, directory);
 */
export function identifyCaller(
    route: Pick<Route, "isOpen">,
    keyDigest: string,
    directory: Pick<Directory, "routingTable" | "workspaceOf">,
): CallerIdentity | undefined {
    if (route.isOpen === true || directory.routingTable()?.workspaces === undefined) {
        return anonymous;
    }
    const workspace = directory.workspaceOf(keyDigest);
    return workspace && { owner: workspace.name, workspace };
}
