import { EndpointRefusal } from "../../endpoints/types/EndpointRefusal.js";
import { toTypedError } from "../../errors/toTypedError/index.js";

/**
 * Reads the higher term from an endpoint's refusal.
 *
 * @param error Error with which a call to an endpoint failed.
 * @returns The higher term that the endpoint has seen, or undefined when the endpoint did not refuse the call's term.
 *
 * @example
 * const higherTerm = readRefusedTerm(error);
 */
export function readRefusedTerm(error: unknown): number | undefined {
    const { refusal, term } = toTypedError(error).details;
    return refusal === EndpointRefusal.WrongTerm && typeof term === "number" ? term : undefined;
}
