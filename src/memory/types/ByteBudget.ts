import type { AnswerBudget } from "./AnswerBudget.js";
import type { ByteAccount } from "./ByteAccount.js";
import type { ConnectionControl } from "./ConnectionControl.js";
import type { StateBudget } from "./StateBudget.js";

/** The bytes that all connections of a process may hold together. */
export interface ByteBudget extends StateBudget, AnswerBudget {
    /** Opens the account of a connection. */
    open(control: ConnectionControl): ByteAccount;
    /** Bytes that are held. */
    heldBytes(): number;
    /** Number of connections that are not read. */
    pausedCount(): number;
}
