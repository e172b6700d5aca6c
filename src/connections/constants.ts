/** Constants of the connections to endpoints. */
export const connectionConstants = {
    connectTimeoutMilliseconds: 1_000,
    resetTimeoutMilliseconds: 500,
    /** Time in which an idle connection must answer a ping. */
    pingTimeoutMilliseconds: 300,
    /** After this time an idle connection above the warm minimum is closed; any other is pinged. */
    idleMilliseconds: 30_000,
    /** Connections that the owner of an endpoint keeps open. */
    warmConnections: 2,
    /** Share of the connections not reserved for the owner that each other gateway may open. */
    standbyShareOfRemainder: 0.25,
    /** Interval of pool adjustments, and pause after a failed connect before warm connections are opened again. */
    adjustmentIntervalMilliseconds: 1_000,
} as const;
