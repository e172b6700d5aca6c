import type { LogPosition } from "../../statements/types/LogPosition.js";

/** What an endpoint says of itself when it is asked whether it is the primary. */
export interface EndpointRole {
    /** Undefined when the endpoint refused for another reason than not being the primary. */
    readonly isPrimary?: boolean;
    /** End of its log. */
    readonly position?: LogPosition;
}
