import { TarragonpostError } from "../TarragonpostError/index.js";
import type { ErrorDetails } from "../types/ErrorDetails.js";
import type { ErrorKind } from "../types/ErrorKind.js";
import type { TypedError } from "../types/TypedError.js";

/** Options of `createError`. */
interface CreateErrorOptions {
    /** What the reader can do to correct the error, as one sentence. */
    readonly remedy: string;
    readonly details?: ErrorDetails;
    readonly cause?: unknown;
}

/**
 * Creates a typed error whose message ends with its remedy.
 *
 * @param kind The kind of the error.
 * @param description What went wrong, as one sentence.
 * @param options The remedy, and optionally details and a cause.
 * @returns The error, ready to be thrown.
 *
 * @example
 * throw createError(ErrorKind.NotFound, "Database stock is not configured.", { remedy: "Add it with a patch." });
 */
export function createError(kind: ErrorKind, description: string, options: CreateErrorOptions): TypedError {
    const error = new TarragonpostError(`${description} ${options.remedy}`, {
        props: { kind, remedy: options.remedy, details: options.details ?? {} },
    });
    if (options.cause !== undefined) {
        error.cause = options.cause;
    }
    return error as unknown as TypedError;
}
