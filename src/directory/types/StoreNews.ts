/** How recent a VM's knowledge of the store is. */
export interface StoreNews {
    /** Notes that a feed of the store answered. */
    noteAnswer(feed: string): void;
    /**
     * Notes that another VM told all it knew, which was that many milliseconds old.
     *
     * `askedAt` is a time before it answered, on this VM's clock in milliseconds.
     */
    learn(ageMilliseconds: number, askedAt: number): void;
    /** Age of what this VM knows, in milliseconds; bounded. */
    ageMilliseconds(): number;
    /** Whether this VM need not ask the store itself. */
    isFresh(): boolean;
}
