import { ReadGuarantee } from "../../directory/types/ReadGuarantee.js";
import type { Route } from "../../directory/types/Route.js";

/**
 * Creates a route for tests.
 *
 * @param changes Fields that differ from those of a route that reads at the primary.
 * @returns The route.
 *
 * @example
 * createRoute({ database: "shop", guarantee: ReadGuarantee.ReadYourWrites });
 */
export function createRoute(changes: Partial<Route> = {}): Route {
    return {
        database: "shop",
        group: "orders",
        guarantee: ReadGuarantee.Primary,
        statementTimeoutMilliseconds: 1_000,
        targetLatencyMilliseconds: 1_000,
        priority: 1,
        maximumStalenessMilliseconds: 2_500,
        ...changes,
    };
}
