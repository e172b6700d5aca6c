import type { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { LogPosition } from "../../messages/types/LogPosition.js";

/** The endpoint that served an answer, with its role and log position. */
export interface ServedBy extends LogPosition {
    readonly endpoint: string;
    readonly role: EndpointRole;
}
