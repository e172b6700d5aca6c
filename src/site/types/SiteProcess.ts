/** One running program of a site. */
export interface SiteProcess {
    readonly name: string;
    readonly processId: number;
    /** Resolves with the exit code, or the name of the signal that ended it. */
    readonly exited: Promise<string>;
    /** Sends a signal; nothing happens when the process has ended. */
    signal(name: NodeJS.Signals): void;
    /** What it has written so far, the last part only. */
    output(): string;
}
