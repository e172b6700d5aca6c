import type { ReadGuarantee } from "./ReadGuarantee.js";

/** Where the sessions of one database lead, and what they are promised. */
export interface Route {
    readonly database: string;
    readonly group: string;
    readonly guarantee: ReadGuarantee;
    /** Time limit of a single statement. */
    readonly statementTimeoutMilliseconds: number;
    /** Time within which a whole operation should be over. */
    readonly targetLatencyMilliseconds: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** How old the state may be that a read sees. */
    readonly maximumStalenessMilliseconds: number;
}
