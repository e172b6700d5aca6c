import type { EndpointLease } from "../../placement/types/EndpointLease.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";

/** A connection that can serve a request. */
export interface PlacedLease {
    readonly lease: EndpointLease;
    /** The position that the endpoint has to hold; undefined at the primary. */
    readonly leastPosition: LogPosition | undefined;
}
