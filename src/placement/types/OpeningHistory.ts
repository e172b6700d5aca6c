import type { ConnectionRefusal } from "./ConnectionRefusal.js";

/** What happened at a pool before, on this VM's clock in milliseconds; minus infinity before the first time. */
export interface OpeningHistory {
    /** The endpoint's last refusal because it held too many connections. */
    readonly refusal: ConnectionRefusal | undefined;
    /** When the evictions so far would have ended at their mean interval. */
    readonly evictionsPaidUntil: number;
    /** When a connection was last evicted for a less urgent statement. */
    readonly lastLessUrgentAt: number;
}
