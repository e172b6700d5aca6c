import type { SessionToken } from "../../session/types/SessionToken.js";
import type { TokenPosition } from "../../session/types/TokenPosition.js";

/** What a request's session requires of the endpoint that serves it. */
export interface SessionFloor {
    readonly token: SessionToken;
    readonly held?: TokenPosition;
    readonly leastPosition: number;
    readonly leastTerm: number;
}
