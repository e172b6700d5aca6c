import { EndpointRefusal } from "../../endpoints/types/EndpointRefusal.js";
import { toTypedError } from "../../errors/toTypedError/index.js";

/**
 * Reads the higher term from an endpoint's refusal.
 *
 * @param error What a call to an endpoint failed with.
 * @returns The term that the endpoint was shown, or undefined when the failure was another one.
 *
 * @example
 * const higherTerm = readRefusedTerm(error);
 */
export function readRefusedTerm(error: unknown): number | undefined {
    const { refusal, term } = toTypedError(error).details;
    return refusal === EndpointRefusal.WrongTerm && typeof term === "number" ? term : undefined;
}
