import type { StopPhase } from "./StopPhase.js";

/** The stop of a VM, as callers' sessions see it. */
export interface GracefulStop {
    /** The phase that has been reached. */
    phase(): StopPhase;
    /** Aborted when the stop has progressed so far that statements no longer wait for a connection. */
    readonly waitsEnd: AbortSignal;
    /** Starts the stop. */
    begin(): void;
    /** Reaches the last phase before its time, because all sessions are closed. */
    finish(): void;
}
