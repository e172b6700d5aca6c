import type { LinkMode } from "./LinkMode.js";

/** A proxy on the loopback interface that stands for a link. */
export interface FaultyProxy {
    /** The port it listens on. */
    readonly port: number;
    /** Bytes that are held back are passed on, in order, once it passes again. */
    mode: LinkMode;
    /** Added to the way of each chunk, in milliseconds. */
    delayMilliseconds: number;
    /** Resets all connections. */
    reset(): void;
    stop(): void;
}
