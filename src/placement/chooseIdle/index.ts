import { workspaceConstants } from "../../workspaces/constants.js";
import type { OwnedSession } from "../types/OwnedSession.js";

/** What the choice of an idle connection needs to know. */
type IdleSession = Pick<OwnedSession, "owner" | "values">;

/**
 * Chooses the idle connection that serves a statement: the one used last without conflicting values, otherwise the one
 * used last.
 *
 * A statement of an owner is served by a connection of that owner alone. A statement of this program is served by any;
 * one in nobody's name is preferred.
 *
 * @param idle The idle connections, the one used last at the end.
 * @param values Values that the statement needs.
 * @param owner The owner of the statement; undefined for a statement of this program.
 * @returns The connection; undefined when none may serve the statement.
 *
 * @example
 * const pooled = chooseIdle(idle, session.values, "museum-shops");
 */
export function chooseIdle<Session extends IdleSession>(
    idle: readonly Session[],
    values: ReadonlyMap<string, string>,
    owner: string | undefined,
): Session | undefined {
    const own = idle.filter(session => session.owner === (owner ?? workspaceConstants.anonymousOwner));
    const usable = owner === undefined && own.length === 0 ? idle : own;
    const matching = usable.findLast(({ values: currentValues }) =>
        currentValues.size <= values.size && [...currentValues].every(([name, value]) => values.get(name) === value)
    );
    return matching ?? usable.at(-1);
}
