import type { LogPosition } from "../../statements/types/LogPosition.js";

/** Log positions of the primaries with the time since this VM requested each of them. */
export interface PositionEvidence {
    /** Records the log position with which a primary answered a request; the function returns the time since it was sent. */
    record(group: string, sinceRequest: () => number, position: LogPosition): void;
    /**
     * The oldest position that includes every commit that was acknowledged longer ago than the given time, in
     * milliseconds; undefined when none is known.
     */
    coveringPosition(group: string, maximumAgeMilliseconds: number): LogPosition | undefined;
    /** Time since the newest evidence was requested, in milliseconds; undefined when there is none. */
    newestAge(group: string): number | undefined;
}
