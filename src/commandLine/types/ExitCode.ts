/** Exit codes of every binary. */
export enum ExitCode {
    Success = 0,
    Failure = 1,
    /** The command line or the settings are wrong. */
    Usage = 2,
}
