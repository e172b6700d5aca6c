import type { SuspicionReason } from "./SuspicionReason.js";

/** A report that an endpoint may have failed. */
export interface Suspicion {
    readonly database: string;
    readonly endpoint: string;
    /** The term under which the reporter used the endpoint. */
    readonly term: number;
    readonly reason: SuspicionReason;
}
