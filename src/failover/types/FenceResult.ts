import type { FenceAnswer } from "../../endpoints/types/FenceAnswer.js";

/** What came back from fencing the endpoints of a group at one term. */
export interface FenceResult {
    readonly answers: readonly FenceAnswer[];
    /** The highest term by which an endpoint refused; another coordinator uses it. */
    readonly higherTerm: number | undefined;
}
