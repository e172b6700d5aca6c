import type { StoreVersion } from "./StoreVersion.js";

/** One object of a feed after a change, with the version of the store at which the object changed. */
export interface FeedChange<Item> extends StoreVersion {
    readonly name: string;
    /** The decoded object; undefined when it was deleted or cannot be decoded. */
    readonly item: Item | undefined;
    /** Why the object cannot be decoded; undefined when it was decoded or deleted. */
    readonly problem?: string;
}
