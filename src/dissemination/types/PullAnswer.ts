import type { DisseminatedRecord } from "./DisseminatedRecord.js";

/** What a peer answers to a `PullRequest`. */
export interface PullAnswer {
    /** Records newer than what the asker holds. */
    readonly records: readonly DisseminatedRecord[];
    /** Keys of which the asker holds a newer record. */
    readonly wantedKeys: readonly string[];
}
