import type { ModelAttempt } from "./ModelAttempt.js";
import type { ModelEndpoint } from "./ModelEndpoint.js";

/** A state of the model: a group of endpoints, and for each term one attempt to change the primary. */
export interface ModelState {
    readonly endpoints: readonly ModelEndpoint[];
    /** Attempts by term; the first belongs to term 1. */
    readonly attempts: readonly ModelAttempt[];
    /** Entries that were acknowledged to a caller. */
    readonly acknowledged: readonly number[];
}
