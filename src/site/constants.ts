/** Constants of the launcher of test sites. */
export const siteConstants = {
    host: "127.0.0.1",
    /** First and last port of sites, below the ports that Linux and macOS choose themselves. */
    firstPort: 10_000,
    lastPort: 32_767,
    pollingMilliseconds: 25,
    startTimeoutMilliseconds: 30_000,
    primariesTimeoutMilliseconds: 20_000,
    convergenceTimeoutMilliseconds: 20_000,
    adminTimeoutMilliseconds: 5_000,
    operatorTimeoutMilliseconds: 20_000,
    stopTimeoutMilliseconds: 10_000,
    logEntriesPerRead: 10_000,
    maximumLogReads: 1_000,
    maximumOutputCharacters: 200_000,
    reportedOutputCharacters: 2_000,
    operatorSettingsFile: "operator.jsonc",
    peerSecret: "secret-of-a-test-site",
    tokenSecret: "token-secret-of-a-test-site",
} as const;
