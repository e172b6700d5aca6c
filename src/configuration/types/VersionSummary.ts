/** One line of the configuration's history. */
export interface VersionSummary {
    readonly version: number;
    readonly patchId: string;
    readonly author: string;
    readonly wallMilliseconds: number;
    readonly patchBytes: number;
    /** The entries that the patch names, as `section.key`, limited in number. */
    readonly keys: readonly string[];
}
