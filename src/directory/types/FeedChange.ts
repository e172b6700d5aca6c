/** One object of a feed after a change. */
export interface FeedChange<Item> {
    readonly name: string;
    /** Revision of the store at which the object changed. */
    readonly revision: number;
    /** The decoded object; undefined when it was deleted or cannot be decoded. */
    readonly item: Item | undefined;
    /** Why the object cannot be decoded; undefined when it was decoded or deleted. */
    readonly problem?: string;
}
