import type { SiteProcess } from "./SiteProcess.js";

/** Watches the processes of a site for failures. */
export interface ExitWatch {
    /** Processes that exited with a non-zero code, with the end of their output. */
    readonly unexpectedExits: readonly string[];
    /** Watches a further process. */
    watch(started: SiteProcess): void;
    /** Waits for a task; rejects at once when a watched process has failed. */
    waitFor<Result>(task: Promise<Result>): Promise<Result>;
}
