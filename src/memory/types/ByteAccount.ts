/** The bytes that one connection holds. */
export interface ByteAccount {
    /**
     * Adds an accepted command of a size in bytes.
     *
     * @returns Whether there was room; without it, the connection is refused and the command must be dropped.
     */
    accept(bytes: number): boolean;
    /** Removes a command that was answered or dropped. */
    release(bytes: number): void;
    /** Reports the bytes that were received and not accepted, and those of answers that the peer has not taken. */
    report(unacceptedBytes: number, unsentBytes: number): void;
    /** The connection was closed; its accepted commands remain until they are released. */
    close(): void;
    /** Removes all commands; nothing more is accepted. */
    releaseAll(): void;
}
