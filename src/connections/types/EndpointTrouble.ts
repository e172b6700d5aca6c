import type { EndpointTroubleKind } from "./EndpointTroubleKind.js";

/** A failure on a connection to an endpoint; the endpoint itself may have failed. */
export interface EndpointTrouble {
    readonly database: string;
    readonly endpoint: string;
    readonly kind: EndpointTroubleKind;
    readonly message: string;
}
