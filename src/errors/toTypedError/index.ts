import { createError } from "../createError/index.js";
import { isTypedError } from "../isTypedError/index.js";
import { ErrorKind } from "../types/ErrorKind.js";
import type { TypedError } from "../types/TypedError.js";

/**
 * Converts any caught value to a typed error.
 *
 * @param value The caught value.
 * @returns The first typed error among the value and its causes, otherwise an `Unexpected` error caused by the value.
 *
 * @example
 * const typed = toTypedError(error);
 */
export function toTypedError(value: unknown): TypedError {
    for (let cause: unknown = value, depth = 0; cause instanceof Error && depth < 5; cause = cause.cause, depth += 1) {
        if (isTypedError(cause)) {
            return cause;
        }
    }
    const description = value instanceof Error ? value.message : String(value);
    return createError(ErrorKind.Unexpected, `Unexpected failure: ${description}.`, {
        remedy: "Report it with the log lines before and after it.",
        cause: value,
    });
}
