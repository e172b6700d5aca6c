/** Consecutive terms of one database, held by one process. */
export interface TermBlock {
    readonly first: number;
    readonly last: number;
}
