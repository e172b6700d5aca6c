/** The bytes of the answers that one connection to an endpoint is receiving. */
export interface AnswerAccount {
    /** Adds received bytes. */
    add(bytes: number): void;
    /** The answers were delivered, or the connection has ended. */
    release(): void;
}
