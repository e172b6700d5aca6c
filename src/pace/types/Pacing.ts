import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { PlacementRequest } from "../../placement/types/PlacementRequest.js";
import type { PacedUse } from "./PacedUse.js";

/** Decides which endpoints get how many statements, from how they answered this VM. */
export interface Pacing {
    /**
     * Lists the candidates that may get a request now, in the order in which they are tried. The candidates are those of
     * `request` in the order of their cost.
     */
    listUsable(request: PlacementRequest, candidates: readonly EndpointRecord[]): readonly EndpointRecord[];
    /** Whether an endpoint gets only probes while others serve. */
    isSetAside(endpoint: EndpointRecord): boolean;
    /** Cost added to an endpoint that fails more statements than others, in milliseconds. */
    penaltyMilliseconds(endpoint: EndpointRecord): number;
    /** Begins a request's use of an endpoint. */
    begin(request: PlacementRequest, endpoint: EndpointRecord): PacedUse;
}
