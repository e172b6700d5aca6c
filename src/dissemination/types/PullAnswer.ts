import type { DisseminatedRecord } from "./DisseminatedRecord.js";

/** The answer to a `PullRequest`. */
export interface PullAnswer {
    /** Records that are newer than those of the requesting gateway, or missing there. */
    readonly records: readonly DisseminatedRecord[];
    /** Keys of which the requesting gateway holds a newer record. */
    readonly wantedKeys: readonly string[];
}
