/** Constants of the caller server. */
export const callerConstants = {
    /** The highest configurable limit on a request body; larger bodies are rejected while they are received. */
    maximumRequestBytes: 8 * 1024 * 1024,
    /** A graceful stop keeps serving for this long, so that load balancers notice it before the port closes. */
    stopNoticeMilliseconds: 2_000,
    /** After that, the port closes once no request has arrived for this long. */
    stopIdleMilliseconds: 300,
    maximumStopNoticeMilliseconds: 10_000,
    /** Connections accepted before the port closed may still send a request for this long. */
    stopLingerMilliseconds: 300,
    /** After that, a request may still arrive, or an answer be received, for this long. */
    stopTransferMilliseconds: 5_000,
    stopPollingIntervalMilliseconds: 20,
    /** Interval at which connections are checked for requests that do not arrive, in milliseconds. */
    stalledCheckMilliseconds: 500,
    /** Connections accepted at the same time, and their range. */
    defaultConnections: 10_000,
    leastConnections: 16,
    mostConnections: 1_000_000,
    /** Bytes of all request bodies that are arriving or being answered, and their range; the least fits one body. */
    defaultBodyBytes: 33_554_432,
    leastBodyBytes: 8_388_608,
    mostBodyBytes: 1_073_741_824,
    /** Time in which a request has to arrive in full, and its range, in milliseconds. */
    defaultRequestMilliseconds: 60_000,
    leastRequestMilliseconds: 1_000,
    mostRequestMilliseconds: 3_600_000,
} as const;
