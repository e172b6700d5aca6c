import type { ConnectionFailureKind } from "./ConnectionFailureKind.js";

/** A failure on a connection to an endpoint; the endpoint itself may have failed. */
export interface ConnectionFailure {
    readonly database: string;
    readonly endpoint: string;
    readonly kind: ConnectionFailureKind;
    readonly message: string;
}
