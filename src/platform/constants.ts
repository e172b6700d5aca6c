/** Constants of the users' platform. */
export const platformConstants = {
    /** Longest message on the wire, in bytes. */
    maximumMessageBytes: 1_048_576,
    /** Id of the statements that the proxy issues itself. */
    ownStatementId: "-",
    /** Who we are, to endpoints. */
    connectionUser: "tarragonpost",
    settingsVariable: "TARRAGONPOST_SETTINGS",
    /** After the last byte was sent, a connection is kept this long for the other side to take it. */
    lingerMilliseconds: 150,
    /** Connections to the store that are kept open. */
    storeConnections: 8,
    /** Time limit for opening a connection to the store. */
    storeConnectMilliseconds: 1_000,
} as const;
