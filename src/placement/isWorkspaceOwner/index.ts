import { OwnerClass } from "../../metrics/types/OwnerClass.js";
import { classifyOwner } from "../classifyOwner/index.js";

/**
 * Tells whether the owner of a connection or a statement is a workspace.
 *
 * @param owner The owner; undefined for a statement of this program.
 * @returns Whether it is a workspace.
 *
 * @example
 * isWorkspaceOwner("museum-shops"); // => true
 */
export function isWorkspaceOwner(owner: string | undefined): boolean {
    return classifyOwner(owner) === OwnerClass.Workspace;
}
