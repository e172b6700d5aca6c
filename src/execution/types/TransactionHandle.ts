import type { Address } from "../../network/types/Address.js";

/** Content of a transaction handle, with which any entry can continue the transaction. */
export interface TransactionHandle {
    readonly caller: string;
    readonly database: string;
    readonly endpoint: string;
    readonly term: number;
    readonly transactionId: string;
    readonly gateway: Address;
    readonly sessionToken?: string;
    readonly requestKey?: string;
}
