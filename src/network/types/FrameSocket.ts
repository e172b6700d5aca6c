/** A connection that carries whole frames, with the emulated network applied. */
export interface FrameSocket {
    send(frame: Uint8Array): void;
    onFrame(listener: (frame: Uint8Array) => void): void;
    /** Closes the connection immediately, without a closing handshake. */
    close(): void;
    /** Whether frames can still be sent. */
    isOpen(): boolean;
    /** Resolves with the close code of the WebSocket protocol, after the last frame that was received. */
    readonly closed: Promise<number>;
}
