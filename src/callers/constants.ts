/** Constants of the caller server. */
export const callerConstants = {
    /** The highest configurable limit on a request body; larger bodies are rejected while they are received. */
    highestRequestBytes: 8 * 1024 * 1024,
    /** A graceful stop keeps serving for this long, so that load balancers notice it before the port closes. */
    stopNoticeMilliseconds: 2_000,
    /** After that, the port closes once no request has arrived for this long. */
    stopQuietMilliseconds: 300,
    longestStopNoticeMilliseconds: 10_000,
    /** Connections accepted before the port closed may still send a request for this long. */
    stopLingerMilliseconds: 300,
    shortestStopPollMilliseconds: 20,
} as const;
