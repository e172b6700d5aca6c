/** Constants of forwarding callers' sessions between VMs. */
export const forwardingConstants = {
    /** VMs of a zone that hold connections to a group's endpoints; the second covers the loss of the first. */
    hostsPerZone: 2,
    /** Number of VMs in a zone up to which each holds its own connections; the endpoints accept enough for that. */
    maximumSmallZoneVms: 6,
    /** Interval at which the hosts are chosen again, in milliseconds. */
    choiceIntervalMilliseconds: 200,
    /** Timeout of opening a session at its host, in milliseconds. */
    openTimeoutMilliseconds: 400,
    /** Timeout of a forwarded statement at its host, whatever its route allows, in milliseconds. */
    answerTimeoutMilliseconds: 60_000,
    /** Time for which an unreachable host gets no new session, in milliseconds. */
    avoidMilliseconds: 1_500,
    /** Time for which a host waits for the routing table that the forwarding VM already has, in milliseconds. */
    routingTimeoutMilliseconds: 1_000,
    routingPollingMilliseconds: 20,
} as const;
