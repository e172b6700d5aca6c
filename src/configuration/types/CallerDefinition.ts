/** One caller: the digest of its key and the databases that it may use. */
export interface CallerDefinition {
    /** SHA-256 of the caller's key, in hexadecimal. */
    readonly keyDigest: string;
    readonly databases: readonly string[];
}
