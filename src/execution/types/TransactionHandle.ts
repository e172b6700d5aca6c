import type { Address } from "../../network/types/Address.js";

/** What a transaction handle carries, so that any entry can go on with the transaction. */
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
