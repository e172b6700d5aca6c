/** One version as kept in the store: the change from the previous version. */
export interface VersionRecord {
    readonly version: number;
    /** A JSON merge patch (RFC 7396). */
    readonly patch: Readonly<Record<string, unknown>>;
    /** Chosen by the operator's client; identifies repeated submissions of a patch. */
    readonly patchId: string;
    /** Digest of the resulting document. */
    readonly digest: string;
    /** Peer name of the process that submitted the patch. */
    readonly author: string;
    /** Wall clock time of the submission in milliseconds since 1970; for display only. */
    readonly wallMilliseconds: number;
}
