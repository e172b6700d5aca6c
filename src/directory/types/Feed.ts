import type { FeedChange } from "./FeedChange.js";

/** A collection of the platform's store that can be listed and followed. */
export interface Feed<Item> {
    /** Lists the whole collection. Fails with `PlatformUnavailable`. */
    list(): Promise<FeedBatch<Item>>;
    /**
     * Waits for changes after a revision. Resolves with undefined when the store no longer has that history.
     * Fails with `PlatformUnavailable`.
     */
    waitForChanges(revision: number, waitMilliseconds: number): Promise<FeedBatch<Item> | undefined>;
}

/** Changes, and the revision of the store up to which they are complete. */
interface FeedBatch<Item> {
    readonly changes: readonly FeedChange<Item>[];
    readonly revision: number;
}
