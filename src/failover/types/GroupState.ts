import type { EndpointObservation } from "./EndpointObservation.js";

/** What a coordinator knows of one of its groups, for operators. */
export interface GroupState {
    readonly database: string;
    readonly observations: readonly EndpointObservation[];
    /** Terms held for further failovers without the platform. */
    readonly reservedTerms: number;
    /** What the coordinator is doing or waiting for. */
    readonly activity: string;
}
