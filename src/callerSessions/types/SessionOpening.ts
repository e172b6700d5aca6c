/** What a caller gives to open a session. */
export interface SessionOpening {
    readonly database: string;
    /** Digest of the caller's key. */
    readonly keyDigest: string;
}
