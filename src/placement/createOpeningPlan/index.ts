import { isWorkspaceOwner } from "../isWorkspaceOwner/index.js";
import type { OpeningPlan } from "../types/OpeningPlan.js";
import type { PlacementTarget } from "../types/PlacementTarget.js";

/** A statement that found no idle connection at some endpoints. */
interface PlannedStatement {
    readonly request: Parameters<OpeningPlan["add"]>[0];
    readonly targets: readonly PlacementTarget[];
    readonly isServed: boolean;
}

/**
 * Creates the plan of the connections to be opened in one pass over the waiting statements.
 *
 * The pools are asked after the pass, most urgent statements first, then owners with the fewest connections: so an idle connection that a
 * later statement takes is not closed for an earlier one. For a statement of a workspace, one connection is opened, at
 * the first endpoint that allows it; for others, one at each endpoint. Connections of other owners are closed for one
 * opening alone, and none for a statement that is served.
 *
 * @returns The plan, empty.
 *
 * @example
 * const plan = createOpeningPlan();
 * plan.add(request, targets, false);
 * plan.start();
 */
export function createOpeningPlan(): OpeningPlan {
    const statements: PlannedStatement[] = [];
    /** Number of openings that earlier statements wait for, by endpoint and owner; infinite when no more are opened. */
    const expected = new Map<PlacementTarget, Map<string | undefined, number>>();

    function requestOpening(
        target: PlacementTarget,
        request: PlannedStatement["request"],
        mayReplace: boolean,
    ): boolean {
        const { owner } = request;
        const counts = expected.get(target) ?? new Map<string | undefined, number>();
        expected.set(target, counts);
        const count = counts.get(owner) ?? 0;
        const isComing = count < Infinity && target.pool.requestOpening(request, count, mayReplace);
        if (isComing || mayReplace) {
            counts.set(owner, isComing ? count + 1 : Infinity);
        }
        return isComing;
    }

    function startFor({ request, targets, isServed }: PlannedStatement): void {
        const { owner, priority, expiresAt } = request;
        const isWorkspace = isWorkspaceOwner(owner);
        let isAnyComing = false;
        for (const target of targets) {
            const isComing = requestOpening(target, request, !isServed && !isAnyComing);
            isAnyComing ||= isComing;
            if (isComing && isWorkspace) {
                return;
            }
        }
        if (owner !== undefined && !isAnyComing && !isServed) {
            targets.forEach(({ pool }) => pool.recordWish({ owner, priority }, expiresAt));
        }
    }

    function countOf({ request: { owner }, targets }: PlannedStatement): number {
        return owner === undefined ? 0 : targets[0]!.pool.openCount(owner);
    }

    return {
        add: (request, targets, isServed) => {
            if (targets.length > 0) {
                statements.push({ request, targets, isServed });
            }
        },
        start: () => {
            const counted = statements.splice(0).map(statement => ({ statement, count: countOf(statement) }));
            counted
                .sort((left, right) =>
                    left.statement.request.priority - right.statement.request.priority || left.count - right.count
                )
                .forEach(({ statement }) => startFor(statement));
        },
    };
}
