import type { EndpointTroubleKind } from "./EndpointTroubleKind.js";

/** A sign that an endpoint may have failed. */
export interface EndpointTrouble {
    readonly database: string;
    readonly endpoint: string;
    readonly kind: EndpointTroubleKind;
    readonly message: string;
}
