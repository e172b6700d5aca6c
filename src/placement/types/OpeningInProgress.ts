import type { OpeningWish } from "./OpeningWish.js";

/** A connection that is being opened. */
export interface OpeningInProgress extends OpeningWish {
    /** On this VM's clock in milliseconds. */
    readonly startedAt: number;
}
