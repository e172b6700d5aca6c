import type { LogPosition } from "../../messages/types/LogPosition.js";

/** The least position of one database that a session must see. */
export interface TokenPosition extends LogPosition {
    /** Endpoint known to hold the position; a routing hint only. */
    readonly heldBy?: string;
    /** Wall time when the position was recorded; a routing hint only. */
    readonly recordedAtMilliseconds: number;
}
