/** Constants of the platform client. */
export const platformConstants = {
    callTimeoutMilliseconds: 2_000,
    /** Silence after which a watch is given up. */
    watchSilenceMilliseconds: 2_000,
    /** What a call or an answer adds to the bytes of its content on the wire. */
    headerBytes: 250,
} as const;
