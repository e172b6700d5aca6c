/** Asks the primary of a term for the outcome recorded under a request key, cancelling the key if there is none. */
export interface RequestLookUp {
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
