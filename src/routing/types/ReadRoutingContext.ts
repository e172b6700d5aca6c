import type { DatabaseDefinition } from "../../configuration/types/DatabaseDefinition.js";
import type { EndpointObservations } from "./EndpointObservations.js";

/** Inputs to the choice of the endpoint for a read. */
export interface ReadRoutingContext {
    readonly database: string;
    readonly definition: DatabaseDefinition;
    readonly primary: string;
    readonly leastPosition: number;
    /** Longest time that a replica may wait for the least position. */
    readonly waitBudgetMilliseconds: number;
    readonly localZone: string;
    readonly localRegion: string;
    readonly observations: EndpointObservations;
    readonly isLeaving: (endpoint: string) => boolean;
}
