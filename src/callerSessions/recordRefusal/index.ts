import type { AcquiredConnection } from "../../placement/types/AcquiredConnection.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import type { SessionServices } from "../types/SessionServices.js";

/** Updates local state about an endpoint or connection after a refusal. */
type RefusalHandler = (connection: AcquiredConnection, services: SessionServices) => void;

/** Handlers of the refusals after which a statement is known not to have run. */
const handlers: Partial<Record<FailureCode, RefusalHandler>> = {
    [FailureCode.Busy]: (connection, { placement }) => placement.recordBusy(connection.endpoint),
    [FailureCode.Lagging]: (connection, { placement }) => placement.recordLagging(connection.endpoint),
    [FailureCode.ReadOnly]: (connection, { primaries }) => {
        if (connection.isPrimary) {
            primaries.recordNotPrimary(connection.endpoint);
        }
    },
    [FailureCode.Misrouted]: connection => connection.discard(),
    [FailureCode.ConnectionLimit]: connection => connection.discard(),
    [FailureCode.UnknownPreparedStatement]: connection => connection.discard(),
};

/**
 * Records an endpoint's refusal of a statement.
 *
 * @param connection The connection on which it was refused.
 * @param code Failure code of the refusal.
 * @param services Services that record it.
 * @returns Whether the statement is known not to have run.
 *
 * @example
 * const didNotRun = recordRefusal(connection, answer.failure.code, services);
 */
export function recordRefusal(connection: AcquiredConnection, code: FailureCode, services: SessionServices): boolean {
    const handle = handlers[code];
    handle?.(connection, services);
    return handle !== undefined;
}
