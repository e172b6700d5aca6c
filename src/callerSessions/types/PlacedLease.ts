import type { EndpointLease } from "../../placement/types/EndpointLease.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";

/** An acquired connection that can serve a request. */
export interface PlacedLease {
    readonly lease: EndpointLease;
    /** The log position that the endpoint has to hold; undefined at the primary. */
    readonly leastPosition: LogPosition | undefined;
}
