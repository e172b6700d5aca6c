import type { TokenPosition } from "./TokenPosition.js";

/** Positions that a session has read or written. The caller keeps the token, so that no process has to store it. */
export interface SessionToken {
    readonly caller: string;
    readonly positions: ReadonlyMap<string, TokenPosition>;
}
