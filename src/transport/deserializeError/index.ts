import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { TypedError } from "../../errors/types/TypedError.js";
import type { SerializedError } from "../types/SerializedError.js";

const kinds = new Set<string>(Object.values(ErrorKind));

/**
 * Rebuilds a typed error that another process sent.
 *
 * @param serialized The error as received; not trusted.
 * @returns The typed error; of kind `Unexpected` when this process does not know the kind.
 *
 * @example
 * reject(deserializeError(frame[2]));
 */
export function deserializeError(serialized: SerializedError): TypedError {
    const kind = kinds.has(serialized?.kind) ? serialized.kind : ErrorKind.Unexpected;
    return createError(kind, String(serialized?.description ?? "The peer sent an error without a text."), {
        remedy: String(serialized?.remedy ?? "Check the peer's version and logs."),
        details: serialized?.details ?? {},
    });
}
