import type { RequestKind } from "./RequestKind.js";

/** One statement of an open transaction. */
export interface TransactionStatement {
    readonly transactionId: string;
    readonly caller: string;
    readonly kind: RequestKind;
    readonly statement: unknown;
    readonly timeLeftMilliseconds: number;
}
