/** Connections of one owner for which statements wait. */
export interface OpeningWish {
    /** Undefined when a connection of any owner serves the statements. */
    readonly owner: string | undefined;
    /** Number of the statements. */
    readonly count: number;
    /** When the last of them expires, on this VM's clock in milliseconds. */
    readonly expiresAt: number;
}
