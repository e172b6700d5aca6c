/** A query to a term's primary for the outcome of a request key, which cancels the key if no outcome is recorded. */
export interface RequestKeyLookUp {
    readonly requestId: string;
    readonly database: string;
    /** Name of the primary of the term. */
    readonly endpoint: string;
    readonly term: number;
    readonly requestKey: string;
    /** Name of the caller, for fair queueing. */
    readonly caller: string;
    readonly timeLeftMilliseconds: number;
}
