import type { FeedChange } from "./FeedChange.js";
import type { StoreVersion } from "./StoreVersion.js";

/** Changes of a feed, from the store or another VM. */
export interface FeedUpdate<Item> {
    /** Whether the changes are the whole collection, so that objects not listed were removed. */
    readonly isSnapshot: boolean;
    /** Version of the store up to which the changes are complete; left out when another VM sent them. */
    readonly version?: StoreVersion;
    /** Newest version of the store that the sending VM knows of; left out when the store sent the changes. */
    readonly senderVersion?: StoreVersion;
    readonly changes: readonly FeedChange<Item>[];
}
