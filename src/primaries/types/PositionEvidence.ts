import type { LogPosition } from "../../statements/types/LogPosition.js";

/** What a VM knows of how far the primaries' logs reached, and when. Only its own stamps are compared. */
export interface PositionEvidence {
    /** Notes that a primary, asked at a moment, answered with a position. */
    note(group: string, askedAt: number, position: LogPosition): void;
    /**
     * The oldest position that includes every commit acknowledged before a moment; undefined when none is known.
     */
    coveringPosition(group: string, moment: number): LogPosition | undefined;
    /** When the newest evidence was asked for; undefined when there is none. */
    newestAskedAt(group: string): number | undefined;
}
