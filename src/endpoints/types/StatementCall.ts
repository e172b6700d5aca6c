/** A statement with the conditions under which the endpoint runs it. */
export interface StatementCall {
    readonly statement: unknown;
    readonly isWrite: boolean;
    /** The endpoint refuses with `WrongTerm` unless it serves this term. */
    readonly term: number;
    /** Log position that the endpoint must have applied before it runs the statement. */
    readonly leastPosition: number;
    /** Time for which the endpoint may wait for that position before it refuses with `Behind`. */
    readonly waitMilliseconds: number;
    /** Recorded in the same transaction; a repeated call with the key returns the recorded outcome. */
    readonly requestKey?: string;
    readonly timeoutMilliseconds: number;
}
