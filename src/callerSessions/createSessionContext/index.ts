import { workspaceConstants } from "../../workspaces/constants.js";
import type { SessionContext } from "../types/SessionContext.js";

/**
 * Creates the state of a session that was just opened.
 *
 * @param database The session's database.
 * @returns The state, without values, prepared statements and commits, of a caller without a workspace.
 *
 * @example
 * const context = createSessionContext("shop");
 */
export function createSessionContext(database: string): SessionContext {
    return {
        database,
        identity: { owner: workspaceConstants.anonymousOwner },
        values: new Map(),
        prepared: new Map(),
        commits: new Map(),
    };
}
