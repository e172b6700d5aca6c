import { describeGroup } from "../describeGroup/index.js";
import type { CallerStatement } from "../types/CallerStatement.js";
import type { SessionServices } from "../types/SessionServices.js";

/** What was not placed, and why. */
interface Unplaced {
    /** What it is, for the log line. */
    readonly what: "statement" | "transaction";
    readonly isReadOnly: boolean;
    readonly reason: string;
}

/**
 * Counts and logs that no connection came free for a statement in its time.
 *
 * @param statement The statement, or the first one of a transaction.
 * @param unplaced What was not placed, and why.
 * @param services What is known of the group, metrics and the log.
 *
 * @example
 * noteUnplaced(statement, { what: "statement", isReadOnly: true, reason: message }, services);
 */
export function noteUnplaced(
    { id, route, receivedAt }: CallerStatement,
    { what, isReadOnly, reason }: Unplaced,
    services: SessionServices,
): void {
    services.metrics.countUnplaced();
    services.log(`${what} was not placed`, {
        id,
        isReadOnly,
        ...describeGroup(route.group, services),
        waitedMilliseconds: Math.round(services.clock.now() - receivedAt),
        reason,
    });
}
