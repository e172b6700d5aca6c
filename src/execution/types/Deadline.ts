/** The time by which a request must have ended. */
export interface Deadline {
    /** Milliseconds left; never negative. */
    timeLeft(): number;
    isExpired(): boolean;
}
