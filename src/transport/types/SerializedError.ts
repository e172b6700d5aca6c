import type { ErrorDetails } from "../../errors/types/ErrorDetails.js";
import type { ErrorKind } from "../../errors/types/ErrorKind.js";

/** A typed error as it is sent between processes. */
export interface SerializedError {
    readonly kind: ErrorKind;
    readonly description: string;
    readonly remedy: string;
    readonly details: ErrorDetails;
}
