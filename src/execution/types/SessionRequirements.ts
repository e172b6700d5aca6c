import type { SessionToken } from "../../session/types/SessionToken.js";
import type { TokenPosition } from "../../session/types/TokenPosition.js";

/** Requirements of a request's session on the endpoint that serves it. */
export interface SessionRequirements {
    readonly token: SessionToken;
    /** Position of the database in the token; undefined when the token has none. */
    readonly tokenPosition?: TokenPosition;
    readonly leastPosition: number;
    readonly leastTerm: number;
}
