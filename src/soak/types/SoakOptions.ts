/** Options of a soak test. */
export interface SoakOptions {
    readonly seed: number;
    /** Duration of the fault injection, in milliseconds. */
    readonly durationMilliseconds: number;
    readonly vmCount: number;
    readonly callerCount: number;
    /** Whether only planned work happens: stops and starts, reloads and configurations. */
    readonly isPlannedOnly: boolean;
    /** Whether callers belong to workspaces and need their keys. */
    readonly hasWorkspaces: boolean;
}
