import type { FeedChange } from "./FeedChange.js";

/** Changes of a feed, from the store or another VM. */
export interface FeedUpdate<Item> {
    /** Whether the changes are the whole collection, so that objects not listed were removed. */
    readonly isSnapshot: boolean;
    /** Revision of the store up to which the changes are complete; left out when another VM sent them. */
    readonly revision?: number;
    readonly changes: readonly FeedChange<Item>[];
}
