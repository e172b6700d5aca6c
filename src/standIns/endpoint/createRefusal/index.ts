import { EndpointRefusal } from "../../../endpoints/types/EndpointRefusal.js";
import { createError } from "../../../errors/createError/index.js";
import type { ErrorDetails } from "../../../errors/types/ErrorDetails.js";
import { ErrorKind } from "../../../errors/types/ErrorKind.js";
import type { TypedError } from "../../../errors/types/TypedError.js";

const remedies: Readonly<Record<EndpointRefusal, string>> = {
    [EndpointRefusal.Behind]: "Wait longer, or use the primary.",
    [EndpointRefusal.Cancelled]: "Send the write under a new request key.",
    [EndpointRefusal.ConnectionLimit]: "Close a connection first, or reuse one.",
    [EndpointRefusal.Leaving]: "Use another endpoint of the group.",
    [EndpointRefusal.NoTransaction]: "Begin the transaction again.",
    [EndpointRefusal.NotPrimary]: "Use the primary of the term.",
    [EndpointRefusal.StatementInvalid]: "Correct the statement.",
    [EndpointRefusal.WrongTerm]: "Read the endpoint's status and use its term.",
};

/**
 * Creates the error of an endpoint that refuses a call without running it.
 *
 * @param refusal Reason of the refusal.
 * @param description Cause of the refusal, as one sentence.
 * @param details Further facts, such as the endpoint's term.
 * @returns The error, ready to be thrown.
 *
 * @example
 * throw createRefusal(EndpointRefusal.WrongTerm, "This endpoint serves term 4.", { term: 4 });
 */
export function createRefusal(refusal: EndpointRefusal, description: string, details: ErrorDetails = {}): TypedError {
    return createError(ErrorKind.EndpointRefused, description, {
        remedy: remedies[refusal],
        details: { refusal, ...details },
    });
}
