/** A caller's request to open a transaction, validated and authenticated. */
export interface TransactionBeginRequest {
    readonly requestId: string;
    readonly caller: string;
    readonly database: string;
    readonly sessionToken?: string;
    readonly requestKey?: string;
    readonly deadlineMilliseconds: number;
}
