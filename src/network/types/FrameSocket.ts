/** A connection that carries whole frames, with the emulated network applied. */
export interface FrameSocket {
    send(frame: Uint8Array): void;
    onFrame(listener: (frame: Uint8Array) => void): void;
    /** Closes the connection immediately, without a closing handshake. */
    close(): void;
    /** Resolves when the connection was closed, by either side or by an error. */
    readonly closed: Promise<void>;
}
