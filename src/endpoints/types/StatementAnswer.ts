/** Answer of an endpoint to a statement or a commit. */
export interface StatementAnswer {
    readonly result: unknown;
    readonly term: number;
    /** For a write, its own log position; otherwise the position applied when the statement ran. */
    readonly position: number;
    /** True if the outcome was recorded by an earlier call with the same request key. */
    readonly isRepeated: boolean;
}
