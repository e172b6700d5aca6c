/** A fault caused during a run. */
export interface LoadFault {
    /** Monotonic time in milliseconds, on the clock of the history. */
    readonly at: number;
    readonly text: string;
    /** The database whose writes the fault interrupts; all databases if undefined. */
    readonly database?: string;
}
