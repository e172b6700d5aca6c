import type { EndpointHealth } from "./EndpointHealth.js";
import type { EndpointPace } from "./EndpointPace.js";

/** What this VM has found of one endpoint. */
export interface PacedEndpoint {
    readonly pace: EndpointPace;
    readonly health: EndpointHealth;
    /** Start time of the endpoint's process, from its record. */
    startedAt: number;
    /** When the endpoint's record was found missing; undefined while it has one. */
    removedAt: number | undefined;
    /** Statements that were sent and have not ended. */
    unanswered: number;
    /** When a statement ended last, or was sent while no other was unanswered. */
    progressAt: number;
    /** Whether a probe was granted by the budget and not sent yet. */
    hasProbeGrant: boolean;
    /** When a line about its pace was logged last. */
    loggedAt: number;
}
