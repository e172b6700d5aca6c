import type { Route } from "../../directory/types/Route.js";
import { createRoute } from "../../testing/createRoute/index.js";
import { soakConstants } from "../constants.js";
import { soakDatabases } from "../soakDatabases.js";

/**
 * Creates the routes of the soak's databases, all to the same group.
 *
 * @param priority Priority of each route; 0 is the most urgent.
 * @returns The routes.
 *
 * @example
 * platform.configure(1, createSoakRoutes(0));
 */
export function createSoakRoutes(priority: number): readonly Route[] {
    const { group, statementTimeoutMilliseconds, maximumStalenessMilliseconds } = soakConstants;
    return soakDatabases.map(({ name, guarantee }) =>
        createRoute({
            database: name,
            group,
            guarantee,
            statementTimeoutMilliseconds,
            maximumStalenessMilliseconds,
            priority,
        })
    );
}
