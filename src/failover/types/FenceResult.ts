import type { FenceAnswer } from "../../endpoints/types/FenceAnswer.js";

/** Result of fencing the endpoints of a group at one term. */
export interface FenceResult {
    readonly answers: readonly FenceAnswer[];
    /** The highest term named in an endpoint's refusal; another coordinator uses that term. */
    readonly higherTerm: number | undefined;
}
