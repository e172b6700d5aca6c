/** A statement whose connection ended before its answer was complete. Times are milliseconds on the clock of the run. */
export interface UnansweredStatement {
    readonly id: string;
    /** Number of the VM that the caller was connected to. */
    readonly vm: number;
    readonly sentAt: number;
    readonly endedAt: number;
}
