/** Constants of the adapter to the users' platform. */
export const platformConstants = {
    /** Longest message of the wire protocol, in bytes. */
    maximumMessageBytes: 1_048_576,
    /** Id of the statements that the proxy issues itself. */
    ownStatementId: "-",
    /** User name with which the proxy opens sessions on endpoints. */
    connectionUser: "tarragonpost",
    /** Environment variable that holds the path of the settings file. */
    settingsVariable: "TARRAGONPOST_SETTINGS",
    /** Time between the last byte sent to a caller and the end of the connection, so that the caller receives all. */
    lingerMilliseconds: 150,
    /** Largest number of connections of one HTTP client. */
    storeConnections: 8,
    /** Time limit for opening a connection of an HTTP client. */
    storeConnectMilliseconds: 1_000,
} as const;
