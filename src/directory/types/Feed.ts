import type { FeedChange } from "./FeedChange.js";
import type { StoreVersion } from "./StoreVersion.js";

/** A collection of the platform's store that can be listed and followed. */
export interface Feed<Item> {
    /** Lists the whole collection. Fails with `PlatformUnavailable`. */
    list(): Promise<FeedBatch<Item>>;
    /**
     * Waits for changes after a revision. Resolves with undefined when the store no longer has that history. The changes
     * are not all that happened since when their era is another one than that of the revision.
     * Fails with `PlatformUnavailable`.
     */
    waitForChanges(revision: number, waitMilliseconds: number): Promise<FeedBatch<Item> | undefined>;
}

/** Changes, and the version of the store up to which they are complete. */
interface FeedBatch<Item> extends StoreVersion {
    readonly changes: readonly FeedChange<Item>[];
}
