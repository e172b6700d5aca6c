import type { ExitCode } from "./ExitCode.js";

/** What a binary needs of the operating system's process; a test swaps it. */
export interface ProcessControl {
    /** The words after the program's name. */
    readonly words: readonly string[];
    /** Writes text to standard output. */
    write(text: string): void;
    /** Writes text to standard error. */
    writeError(text: string): void;
    /** Calls the listener on each SIGTERM and SIGINT. */
    onStopSignal(listener: () => void): void;
    exit(code: ExitCode): void;
}
