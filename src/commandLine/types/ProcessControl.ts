import type { ExitCode } from "./ExitCode.js";

/** Arguments, output, signals and exit of a process; tests replace it. */
export interface ProcessControl {
    /** Command line arguments after the program's name. */
    readonly commandLineArguments: readonly string[];
    /** Writes text to standard output. */
    write(text: string): void;
    /** Writes text to standard error. */
    writeError(text: string): void;
    /** Calls the listener at each SIGTERM and SIGINT. */
    onStopSignal(listener: () => void): void;
    exit(code: ExitCode): void;
}
