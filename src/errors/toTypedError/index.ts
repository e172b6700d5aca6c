import { createError } from "../createError/index.js";
import { isTypedError } from "../isTypedError/index.js";
import { ErrorKind } from "../types/ErrorKind.js";
import type { TypedError } from "../types/TypedError.js";

/**
 * Converts any caught value to a typed error.
 *
 * @param value The caught value.
 * @returns The typed error that the value is or was caused by, otherwise an error of kind `Unexpected` with it as cause.
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
        remedy: "Report it with the log lines around it.",
        cause: value,
    });
}
