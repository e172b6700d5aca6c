import type { LogPosition } from "../../statements/types/LogPosition.js";

/** Log positions of the primaries with the times at which this VM requested them, on its own clock. */
export interface PositionEvidence {
    /** Records the log position with which a primary answered a request sent at `requestedAt`. */
    record(group: string, requestedAt: number, position: LogPosition): void;
    /** The oldest position that includes every commit acknowledged before a moment; undefined when none is known. */
    coveringPosition(group: string, moment: number): LogPosition | undefined;
    /** When the newest evidence was requested; undefined when there is none. */
    newestRequestedAt(group: string): number | undefined;
}
