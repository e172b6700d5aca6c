import type { ErrorKind } from "../../errors/types/ErrorKind.js";

/** The decision when a VM opens a connection to one endpoint, and whether it keeps an unused one. */
export interface OpeningPace {
    /** Whether another connection may be opened now, given those that are open and those that are being opened. */
    mayOpen(openCount: number, openingCount: number): boolean;
    /** Whether this VM has one connection at most and keeps no unused one, because other VMs need the places too. */
    isSparing(): boolean;
    recordOpened(): void;
    /** Records that a connection could not be opened; returns the pause before the next attempt, in milliseconds. */
    recordFailure(kind: ErrorKind): number;
    /** When the pause after the last failure ends. */
    pausedUntil(): number;
    /** Failed attempts since a connection was opened. */
    failureCount(): number;
    /** Whether the endpoint has refused so many attempts because of its limit that statements should not wait for one. */
    isLimitLasting(): boolean;
}
