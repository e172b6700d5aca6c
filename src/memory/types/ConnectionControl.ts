/** What a budget may do to a connection. */
export interface ConnectionControl {
    /** Whether reading can be paused. */
    readonly canPause: boolean;
    /** Stops reading. */
    pause(): void;
    /** Delivers what was received in full, then reads on. */
    resume(): void;
    /** Delivers the next command that was received in full, if there is one, without reading. */
    deliverNext(): void;
    /** Discards what was not accepted; closes the connection with a failure once the accepted commands are answered. */
    refuse(): void;
    /** Closes the connection, whose peer does not take its answers. */
    disconnect(): void;
}
