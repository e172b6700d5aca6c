/** The configuration version in force in one process. */
export interface ProcessVersion {
    readonly process: string;
    readonly version: number;
}
