import type { AdmissionSlot } from "../../admission/types/AdmissionSlot.js";
import type { AcquiredConnection } from "../../connections/types/AcquiredConnection.js";
import type { TransactionBegin } from "../../messages/types/TransactionBegin.js";
import type { Mailbox } from "../../waiting/types/Mailbox.js";
import type { TransactionCommand } from "./TransactionCommand.js";

/** An open transaction. */
export interface OpenTransaction {
    readonly transactionId: string;
    readonly begin: TransactionBegin;
    /** Position that the endpoint had applied when the transaction began. */
    readonly position: number;
    /** Time of the monotonic clock at which the transaction is rolled back. */
    readonly deadlineAt: number;
    readonly slot: AdmissionSlot;
    readonly acquiredConnection: AcquiredConnection;
    readonly mailbox: Mailbox<TransactionCommand>;
}
