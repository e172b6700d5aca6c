/** Whether statements that cannot be served in time are refused at once. */
export interface RefusalState {
    /**
     * Takes in one review of a queue.
     *
     * @param worstRatio The highest ratio of expected wait and time left among the waiting statements; 0 without any.
     */
    review(worstRatio: number): void;
    /** Whether a statement with this ratio of expected wait and time left is refused now. */
    shouldRefuse(ratio: number): boolean;
    isRefusing(): boolean;
}
