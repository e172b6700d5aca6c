import type { FenceAnswer } from "../../endpoints/types/FenceAnswer.js";

/** Actions of the coordinator of one term. */
export interface ModelAttempt {
    readonly answers: readonly FenceAnswer[];
    /** Number of the promoted endpoint; undefined when none was. */
    readonly primary?: number;
    /** Highest log length that each endpoint reported while it served the term. */
    readonly reported: readonly number[];
}
