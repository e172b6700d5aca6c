import { workspaceConstants } from "../../workspaces/constants.js";
import type { PlacementRequest } from "../types/PlacementRequest.js";

/**
 * Finds in whose name a request waits.
 *
 * @param request The request.
 * @returns The owner; that of callers without a workspace for the program's own statements.
 *
 * @example
 * ownerOf({ owner: "museum-shops" }); // => "museum-shops"
 */
export function ownerOf({ owner }: Pick<PlacementRequest, "owner">): string {
    return owner ?? workspaceConstants.anonymousOwner;
}
