/** A workspace of the stand-in's configuration, with the one key that its callers use. */
export interface StandInWorkspace {
    readonly name: string;
    readonly key: string;
    /** Operations per second of all callers together; left out without a limit. */
    readonly operationsPerSecond?: number;
}
