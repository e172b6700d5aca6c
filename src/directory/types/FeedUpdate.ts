import type { FeedChange } from "./FeedChange.js";

/** News of a feed. */
export interface FeedUpdate<Item> {
    /** Whether the changes are the whole collection, so that whatever is missing is gone. */
    readonly isWhole: boolean;
    /** Revision of the store up to which this tells everything; left out when another VM told it. */
    readonly revision?: number;
    readonly changes: readonly FeedChange<Item>[];
}
