import type { ReadGuarantee } from "./ReadGuarantee.js";

/** The group that serves the sessions of one database, and the guarantees of those sessions. */
export interface Route {
    readonly database: string;
    readonly group: string;
    readonly guarantee: ReadGuarantee;
    /** Time limit of a single statement. */
    readonly statementTimeoutMilliseconds: number;
    /** Time within which a whole operation should finish. */
    readonly targetLatencyMilliseconds: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Whether callers need no key of a workspace; left out means that they need one where there are workspaces. */
    readonly isOpen?: boolean;
    /** Greatest age of the state that a read may see. */
    readonly maximumStalenessMilliseconds: number;
}
