/** The lists of one database after the run, when no operation is in flight. */
export interface FinalState {
    readonly database: string;
    /** Source of the state, for messages: an endpoint or the proxy. */
    readonly source: string;
    readonly lists: ReadonlyMap<string, readonly string[]>;
}
