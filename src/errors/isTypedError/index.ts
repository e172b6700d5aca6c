import { TarragonpostError } from "../TarragonpostError/index.js";
import type { ErrorKind } from "../types/ErrorKind.js";
import type { TypedError } from "../types/TypedError.js";

/**
 * Checks whether a caught value is a typed error, optionally of one kind.
 *
 * @param value The caught value.
 * @param kind The required kind; any kind when left out.
 * @returns True when the value is a typed error of that kind.
 *
 * @example
 * if (isTypedError(error, ErrorKind.Conflict)) { return readAgain(); }
 */
export function isTypedError(value: unknown, kind?: ErrorKind): value is TypedError {
    return value instanceof TarragonpostError && (kind === undefined || (value as unknown as TypedError).kind === kind);
}
