/** How a statement is to be run. */
export interface StatementCall {
    readonly statement: unknown;
    readonly isWrite: boolean;
    /** The endpoint refuses with `WrongTerm` unless it serves under exactly this term. */
    readonly term: number;
    readonly leastPosition: number;
    readonly waitMilliseconds: number;
    /** Recorded in the same transaction; a second call with the key returns the first outcome. */
    readonly requestKey?: string;
    readonly timeoutMilliseconds: number;
}
