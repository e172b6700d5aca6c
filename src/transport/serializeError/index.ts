import { toTypedError } from "../../errors/toTypedError/index.js";
import type { SerializedError } from "../types/SerializedError.js";

/**
 * Converts a caught value to the form in which errors are sent to another process.
 *
 * @param value The caught value.
 * @returns Kind, description, remedy and details of the value as a typed error.
 *
 * @example
 * send([FrameKind.Failure, id, serializeError(error), events.stamp()]);
 */
export function serializeError(value: unknown): SerializedError {
    const error = toTypedError(value);
    const remedyStart = error.message.lastIndexOf(error.remedy);
    const description = remedyStart > 0 ? error.message.slice(0, remedyStart - 1) : error.message;
    return { kind: error.kind, description, remedy: error.remedy, details: error.details };
}
