import type { TransactionEndKind } from "./TransactionEndKind.js";

/** Ends an open transaction. */
export interface TransactionEnd {
    readonly transactionId: string;
    readonly caller: string;
    readonly kind: TransactionEndKind;
    readonly timeLeftMilliseconds: number;
}
