/** Constants of the adapter to the users' platform. */
export const platformConstants = {
    /** Longest message of the wire protocol, in bytes. */
    maximumMessageBytes: 1_048_576,
    /** Id of the statements that the proxy issues itself. */
    proxyStatementId: "-",
    /** Environment variable that holds the path of the settings file. */
    settingsFileVariable: "TARRAGONPOST_SETTINGS",
    /** Time between the last byte sent to a caller and the end of the connection, so that the caller receives all. */
    closeDelayMilliseconds: 150,
    /** Time that a caller has to read its last answer once its connection is being closed. */
    unreadAnswerMilliseconds: 2_000,
    /** Largest number of connections of one HTTP client. */
    maximumHttpConnections: 8,
    /** Time limit for opening a connection of an HTTP client. */
    httpConnectTimeoutMilliseconds: 1_000,
} as const;
