/** Exit codes of every binary. */
export enum ExitCode {
    Success = 0,
    Failure = 1,
    /** The command line, the settings or a patch is invalid. */
    Usage = 2,
}
