import { describeGroup } from "../describeGroup/index.js";
import type { CallerStatement } from "../types/CallerStatement.js";
import type { SessionServices } from "../types/SessionServices.js";

/** A request that got no connection. */
interface FailedAcquisition {
    /** Kind of the request, for the log line. */
    readonly requestKind: "statement" | "transaction";
    readonly isReadOnly: boolean;
    readonly reason: string;
}

/**
 * Counts and logs that no connection became available for a statement in time.
 *
 * @param statement The statement, or the first one of a transaction.
 * @param failedAcquisition Kind of the request, and why it got no connection.
 * @param services Known state of the group, metrics and the log.
 *
 * @example
 * recordAcquisitionTimeout(statement, { requestKind: "statement", isReadOnly: true, reason: message }, services);
 */
export function recordAcquisitionTimeout(
    { id, route, receivedAt }: CallerStatement,
    { requestKind, isReadOnly, reason }: FailedAcquisition,
    services: SessionServices,
): void {
    services.metrics.countAcquisitionTimeout();
    services.log(`${requestKind} refused: no connection available in time`, {
        id,
        isReadOnly,
        ...describeGroup(route.group, services),
        waitedMilliseconds: Math.round(services.clock.now() - receivedAt),
        reason,
    });
}
