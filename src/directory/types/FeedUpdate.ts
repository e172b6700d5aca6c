import type { FeedChange } from "./FeedChange.js";

/** News of a feed. */
export interface FeedUpdate<Item> {
    /** Whether the changes are the whole collection, so that whatever is missing is gone. */
    readonly isWhole: boolean;
    readonly changes: readonly FeedChange<Item>[];
}
