import type { LinkConditions } from "./LinkConditions.js";

/** Conditions from one place to another, as the emulated network publishes them. */
export interface EmulatedLink extends LinkConditions {
    readonly from: string;
    readonly to: string;
}
