/** Opens an interactive transaction at the gateway owning the endpoint. */
export interface TransactionBegin {
    readonly requestId: string;
    readonly database: string;
    readonly endpoint: string;
    readonly term: number;
    readonly leastPosition: number;
    readonly waitMilliseconds: number;
    readonly caller: string;
    /** Records the transaction's commit under this key, so that its outcome can be looked up. */
    readonly requestKey?: string;
    /** Time left for the whole transaction. */
    readonly timeLeftMilliseconds: number;
}
