/** A connection that carries whole frames, with the emulated network applied. */
export interface FrameSocket {
    send(frame: Uint8Array): void;
    onFrame(listener: (frame: Uint8Array) => void): void;
    /** Ends the connection at once. */
    close(): void;
    /** Resolves when the connection is over, for whichever reason. */
    readonly closed: Promise<void>;
}
