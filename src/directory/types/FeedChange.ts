/** One object of a feed as it stands after a change. */
export interface FeedChange<Item> {
    readonly name: string;
    /** Revision of the store at which it changed. */
    readonly revision: number;
    /** The decoded object; undefined when it was deleted or cannot be read. */
    readonly item: Item | undefined;
    /** Why the object cannot be read; undefined when it can, or was deleted. */
    readonly problem?: string;
}
