import type { EndpointLease } from "../../placement/types/EndpointLease.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import type { SessionServices } from "../types/SessionServices.js";

/** Takes in what a refusal tells of the endpoint. */
type RefusalHandler = (lease: EndpointLease, services: SessionServices) => void;

/** The refusals after which a statement is known not to have run. */
const handlers: Partial<Record<FailureCode, RefusalHandler>> = {
    [FailureCode.Busy]: (lease, { placement }) => placement.noteBusy(lease.endpoint),
    [FailureCode.Lagging]: (lease, { placement }) => placement.noteLagging(lease.endpoint),
    [FailureCode.ReadOnly]: (lease, { primaries }) => {
        if (lease.isPrimary) {
            primaries.noteNotPrimary(lease.endpoint);
        }
    },
    [FailureCode.Misrouted]: lease => lease.discard(),
    [FailureCode.ConnectionLimit]: lease => lease.discard(),
    [FailureCode.UnknownPreparedStatement]: lease => lease.discard(),
};

/**
 * Takes in an endpoint's refusal of a statement.
 *
 * @param lease The connection on which it was refused.
 * @param code The refusal.
 * @param services Whom it is told.
 * @returns Whether the refusal says that the statement did not run.
 *
 * @example
 * const mayRepeat = noteRefusal(lease, answer.failure.code, services);
 */
export function noteRefusal(lease: EndpointLease, code: FailureCode, services: SessionServices): boolean {
    const handle = handlers[code];
    handle?.(lease, services);
    return handle !== undefined;
}
