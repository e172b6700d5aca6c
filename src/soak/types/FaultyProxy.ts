import type { LinkMode } from "./LinkMode.js";

/** A TCP proxy on the loopback interface that emulates a link with faults. */
export interface FaultyProxy {
    /** Port on which the proxy listens. */
    readonly port: number;
    /** Bytes that were held back are forwarded in order once the mode is `Passing` again. */
    mode: LinkMode;
    /** Delay of each chunk in each direction, in milliseconds. */
    delayMilliseconds: number;
    /** Resets all connections. */
    reset(): void;
    stop(): void;
}
