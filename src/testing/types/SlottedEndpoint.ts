import type { EndpointSession } from "../../statements/types/EndpointSession.js";

/** An endpoint for tests that runs a number of statements concurrently and refuses others. */
export interface SlottedEndpoint {
    /** Time that a statement takes, in milliseconds. */
    workMilliseconds: number;
    /** Share of the statements that it fails, from 0 to 1. */
    failingShare: number;
    /** Whether it answers nothing. */
    isHanging: boolean;
    /** When the statements that reached it arrived, in milliseconds. */
    readonly arrivals: number[];
    /** Statements that it refused, answered and failed, and the most that it ran or queued at once. */
    readonly counts: { refused: number; answered: number; failed: number; mostAtOnce: number; };
    /** Opens a connection to it. */
    open(): EndpointSession;
}
