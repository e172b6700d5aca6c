/** Constants of the callers' interface. */
export const callerConstants = {
    /** Bodies above the highest configurable limit are cut off while they arrive. */
    highestRequestBytes: 8 * 1024 * 1024,
    /** A planned stop goes on serving for this long, so that balancers see it before the port closes. */
    stopNoticeMilliseconds: 2_000,
    /** After the notice, the port closes once no request has arrived for this long. */
    stopQuietMilliseconds: 300,
    longestStopNoticeMilliseconds: 10_000,
    /** Connections accepted before the port closed may still bring a request for this long. */
    stopLingerMilliseconds: 300,
    shortestStopPollMilliseconds: 20,
} as const;
