import type { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { LogPosition } from "../../messages/types/LogPosition.js";

/** The endpoint behind an answer. */
export interface ServedBy extends LogPosition {
    readonly endpoint: string;
    readonly role: EndpointRole;
}
