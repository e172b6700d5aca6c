import type { ByteAccount } from "./ByteAccount.js";
import type { ConnectionControl } from "./ConnectionControl.js";

/** The bytes that all connections of a process may hold together. */
export interface ByteBudget {
    /** Opens the account of a connection. */
    open(control: ConnectionControl): ByteAccount;
    /** Bytes that are held. */
    heldBytes(): number;
    /** Number of connections that are not read. */
    pausedCount(): number;
}
