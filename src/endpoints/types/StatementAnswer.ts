/** What an endpoint answers to a statement or a commit. */
export interface StatementAnswer {
    readonly result: unknown;
    readonly term: number;
    /** For a write its own position, otherwise the position applied when it ran. */
    readonly position: number;
    /** True when the outcome was recorded earlier under the same request key. */
    readonly isRepeated: boolean;
}
