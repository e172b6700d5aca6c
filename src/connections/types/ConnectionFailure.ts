import type { ConnectionFailureKind } from "./ConnectionFailureKind.js";

/** A connection failure; its endpoint may have failed. */
export interface ConnectionFailure {
    readonly database: string;
    readonly endpoint: string;
    readonly kind: ConnectionFailureKind;
    readonly message: string;
}
