import { EndpointRefusal } from "../../endpoints/types/EndpointRefusal.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { TypedError } from "../../errors/types/TypedError.js";
import { createNotRun } from "../../messages/createNotRun/index.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import type { NotRunReply } from "../../messages/types/NotRunReply.js";

const reasonsByRefusal: Record<EndpointRefusal, NotRunReason> = {
    [EndpointRefusal.Behind]: NotRunReason.Behind,
    [EndpointRefusal.Cancelled]: NotRunReason.Cancelled,
    [EndpointRefusal.ConnectionLimit]: NotRunReason.EndpointUnavailable,
    [EndpointRefusal.Leaving]: NotRunReason.Leaving,
    [EndpointRefusal.NoTransaction]: NotRunReason.TransactionOver,
    [EndpointRefusal.NotPrimary]: NotRunReason.WrongTerm,
    [EndpointRefusal.StatementInvalid]: NotRunReason.StatementRefused,
    [EndpointRefusal.WrongTerm]: NotRunReason.WrongTerm,
};

const reasonsByKind: Partial<Record<ErrorKind, NotRunReason>> = {
    [ErrorKind.DeadlineExceeded]: NotRunReason.DeadlineExceeded,
    [ErrorKind.InvalidRequest]: NotRunReason.InvalidRequest,
    [ErrorKind.NotFound]: NotRunReason.UnknownDatabase,
    [ErrorKind.Overloaded]: NotRunReason.Overloaded,
    [ErrorKind.Stopping]: NotRunReason.Stopping,
};

/**
 * Creates the reply to a request that did not run because of an error.
 *
 * @param error The endpoint's refusal, or the failure to acquire a slot or a connection.
 * @param term The term that the request was routed under.
 * @returns The reply, with the newer term and the position that the endpoint reported.
 *
 * @example
 * return toNotRun(outcome.error, request.term);
 */
export function toNotRun(error: TypedError, term: number): NotRunReply {
    const { refusal, term: endpointTerm, position } = error.details;
    const reason = reasonsByRefusal[refusal as EndpointRefusal] ?? reasonsByKind[error.kind]
        ?? NotRunReason.EndpointUnavailable;
    return createNotRun(reason, error.message, {
        ...(typeof endpointTerm === "number" && endpointTerm > term ? { newerTerm: endpointTerm } : {}),
        ...(typeof position === "number" ? { position } : {}),
    });
}
