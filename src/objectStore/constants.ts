/** Constants of the platform client. */
export const objectStoreConstants = {
    callTimeoutMilliseconds: 2_000,
    /** A watch without data for this time ends with an error. */
    watchTimeoutMilliseconds: 2_000,
    /** Estimated bytes that the headers of a call or an answer add to its content. */
    headerBytes: 250,
} as const;
