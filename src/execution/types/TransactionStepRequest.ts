/** A caller's request within a transaction, validated and authenticated. */
export interface TransactionStepRequest {
    readonly requestId: string;
    readonly caller: string;
    readonly transactionHandle: string;
    readonly deadlineMilliseconds: number;
}
