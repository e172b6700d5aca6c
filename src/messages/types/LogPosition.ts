/** A position in the log of a group. */
export interface LogPosition {
    readonly term: number;
    readonly position: number;
}
