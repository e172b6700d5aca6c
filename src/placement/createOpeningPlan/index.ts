import type { OpeningWish } from "../types/OpeningWish.js";
import type { PlacementRequest } from "../types/PlacementRequest.js";
import type { PlacementTarget } from "../types/PlacementTarget.js";

/** The connections that one pass over the waiting statements found missing. */
interface OpeningPlan {
    /** Records that a statement found no idle connection to an endpoint. */
    add(target: PlacementTarget, request: Pick<PlacementRequest, "owner" | "expiresAt">): void;
    /** Asks the pools for the connections. */
    start(): void;
}

/**
 * Creates the plan of the connections to be opened in one pass over the waiting statements.
 *
 * The pools are asked after the pass: then each knows all owners that need a connection, and an idle connection that a
 * later statement takes is not closed for an earlier one.
 *
 * @returns The plan, empty.
 *
 * @example
 * const plan = createOpeningPlan();
 * plan.add(target, request);
 * plan.start();
 */
export function createOpeningPlan(): OpeningPlan {
    const wishesByTarget = new Map<PlacementTarget, Map<string | undefined, OpeningWish>>();

    return {
        add: (target, { owner, expiresAt }) => {
            const wishes = wishesByTarget.get(target) ?? new Map<string | undefined, OpeningWish>();
            const known = wishes.get(owner);
            wishes.set(owner, {
                owner,
                count: (known?.count ?? 0) + 1,
                expiresAt: Math.max(expiresAt, known?.expiresAt ?? -Infinity),
            });
            wishesByTarget.set(target, wishes);
        },
        start: () => {
            for (const [{ pool }, wishes] of wishesByTarget) {
                pool.requestOpenings([...wishes.values()]);
            }
        },
    };
}
