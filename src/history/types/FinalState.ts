/** The lists of one database after the run, once no operation is under way. */
export interface FinalState {
    readonly database: string;
    /** Which source gave it, for messages: an endpoint's log or the proxy. */
    readonly source: string;
    readonly lists: ReadonlyMap<string, readonly string[]>;
}
