import type { ErrorDetails } from "./ErrorDetails.js";
import type { ErrorKind } from "./ErrorKind.js";

/** An error with a kind, a remedy and details. */
export interface TypedError extends Error {
    readonly kind: ErrorKind;
    readonly remedy: string;
    readonly details: ErrorDetails;
}
