import { OwnerClass } from "../../metrics/types/OwnerClass.js";
import { workspaceConstants } from "../../workspaces/constants.js";

/**
 * Classifies the owner of a connection for metrics.
 *
 * @param owner The owner; undefined for a statement of this program.
 * @returns The owner's class.
 *
 * @example
 * metrics.countEviction(classifyOwner("museum-shops")); // => OwnerClass.Workspace
 */
export function classifyOwner(owner: string | undefined): OwnerClass {
    return owner === undefined || owner === workspaceConstants.anonymousOwner
        ? OwnerClass.Anonymous
        : OwnerClass.Workspace;
}
