import type { TokenPosition } from "./TokenPosition.js";

/** What a session has seen and written; it travels with the session instead of being stored. */
export interface SessionToken {
    readonly caller: string;
    readonly positions: ReadonlyMap<string, TokenPosition>;
}
