import type { FenceAnswer } from "../../endpoints/types/FenceAnswer.js";
import type { choosePromotionCandidate } from "../../failover/choosePromotionCandidate/index.js";
import type { isHeldByMajority } from "../../failover/isHeldByMajority/index.js";
import type { ModelEndpoint } from "./ModelEndpoint.js";

/** Rules whose safety the search checks: those of the product, or those of a test with one fault. */
export interface ModelRules {
    readonly choosePromotionCandidate: typeof choosePromotionCandidate;
    readonly isHeldByMajority: typeof isHeldByMajority;
    /** Number of endpoints that have to be fenced, and that have to hold an entry. */
    readonly majority: number;
    /** Whether a term's first entry is a marker, and nothing is acknowledged before its confirmation. */
    readonly hasMarker: boolean;
    /** Whether a replica serves its primary's term only once it holds the whole log that the primary started with. */
    readonly requiresWholeStartingLog: boolean;
    /** Creates an endpoint's answer to a fence. */
    readonly answerFence: (endpoint: ModelEndpoint, name: string) => FenceAnswer;
}
