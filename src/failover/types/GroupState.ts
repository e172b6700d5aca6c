import type { EndpointObservation } from "./EndpointObservation.js";

/** State of one group at its coordinator, for operators. */
export interface GroupState {
    readonly database: string;
    readonly observations: readonly EndpointObservation[];
    /** Number of reserved terms, each of which allows a failover while the platform is unavailable. */
    readonly reservedTerms: number;
    /** Current activity of the coordinator, or the reason why it waits. */
    readonly activity: string;
}
