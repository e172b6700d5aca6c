/** A place in a database group's log. */
export interface LogPosition {
    readonly term: number;
    readonly position: number;
}
