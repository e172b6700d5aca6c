/** Control of what is read from a caller's connection. */
export interface CallerFlow {
    /** Reports the bytes that were received and not delivered, and those of answers that the caller has not taken; set once. */
    onHeldBytes(listener: (undeliveredBytes: number, unsentBytes: number) => void): void;
    /** Stops delivering and reading. */
    pause(): void;
    /** Delivers what was received, then reads on. */
    resume(): void;
    /** Delivers the next command that was received in full, without reading; returns whether there was one. */
    deliverNext(): boolean;
    /** Ends the connection at once, with what was not sent. */
    disconnect(): void;
    /** Discards what was received and not delivered, and whatever comes. */
    discard(): void;
}
