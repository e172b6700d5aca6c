import type { StateAccount } from "./StateAccount.js";

/** The bytes that all sessions of a process keep from statement to statement. */
export interface StateBudget {
    /** Opens the account of a session. */
    openState(): StateAccount;
    /** Bytes that are kept. */
    keptBytes(): number;
}
