/** One running program of a site. */
export interface SiteProcess {
    readonly name: string;
    readonly processId: number;
    /** Resolves with the exit code, or the name of the signal that terminated the process. */
    readonly exited: Promise<string>;
    /** Sends a signal; has no effect after the process has exited. */
    signal(name: NodeJS.Signals): void;
    /** The end of the output written so far. */
    output(): string;
}
