/** Freshness of a VM's data from the platform's store. */
export interface StoreFreshness {
    /** Records that a feed of the store answered. */
    recordAnswer(feed: string): void;
    /**
     * Applies the age of the complete data that another VM sent.
     *
     * `requestedAt` is a time before that VM answered, on this VM's clock in milliseconds.
     */
    applyAge(ageMilliseconds: number, requestedAt: number): void;
    /** Age of this VM's data in milliseconds, up to an upper bound. */
    ageMilliseconds(): number;
}
