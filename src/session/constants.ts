/** Constants of session tokens and transaction handles. */
export const sessionConstants = {
    signatureBytes: 16,
    maximumTokenLength: 4_096,
    /** A session that uses more databases drops the position it learned first. */
    maximumDatabases: 16,
} as const;
