/** Constants of session tokens and transaction handles. */
export const sessionConstants = {
    signatureBytes: 16,
    maximumTokenLength: 4_096,
    /** A token that covers more databases drops the position that was advanced least recently. */
    maximumDatabases: 16,
} as const;
