/** Constants of the connections to endpoints. */
export const connectionConstants = {
    connectTimeoutMilliseconds: 1_000,
    resetTimeoutMilliseconds: 500,
    /** Time that an idle connection of a suspected endpoint has to answer a ping. */
    pingTimeoutMilliseconds: 300,
    /** An idle connection above the warm minimum is closed after this time. */
    idleMilliseconds: 30_000,
    /** Connections that an owner keeps open. */
    warmConnections: 2,
    /** Share of the connections left by the owner that another gateway may open. */
    standbyShareOfRest: 0.25,
    /** Pause between two attempts to open warm connections after a failure. */
    warmPauseMilliseconds: 1_000,
} as const;
