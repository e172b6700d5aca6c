/** One version as the store keeps it: the step from the version before. */
export interface VersionRecord {
    readonly version: number;
    /** A JSON merge patch (RFC 7396). */
    readonly patch: Readonly<Record<string, unknown>>;
    /** Drawn by the operator's program; tells a repeated patch. */
    readonly patchId: string;
    /** Digest of the content that results. */
    readonly digest: string;
    /** Who submitted it. */
    readonly author: string;
    /** Wall time of the submission in milliseconds since 1970, for people. */
    readonly wallMilliseconds: number;
}
