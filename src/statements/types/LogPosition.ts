/** A position in a group's log: the term of the primary that wrote the entry, and the entry's number. */
export interface LogPosition {
    readonly term: number;
    readonly entry: number;
}
