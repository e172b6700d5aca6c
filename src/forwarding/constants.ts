/** Constants of forwarding callers' sessions between VMs. */
export const forwardingConstants = {
    /** VMs of a zone that hold connections to a group's endpoints; the second covers the loss of the first. */
    hostsPerZone: 2,
    /** Number of VMs in a zone up to which each holds its own connections; the endpoints accept enough for that. */
    maximumSmallZoneVms: 6,
    /** Share of a large zone's capacity that its hosts have together at least. */
    poolCapacityShare: 0.25,
    /** Upper bound of a host's number of groups, relative to its share of the pool's capacity. */
    maximumLoadFactor: 1.25,
    /** Hosts of a large zone at least; while one is lost, each group still has two. */
    minimumPoolVms: 3,
    /** Time within which a host must answer before a session's first statement is sent to it, in milliseconds. */
    openTimeoutMilliseconds: 400,
    /** A host that answered this recently needs no probe before a statement that may take effect, in milliseconds. */
    recentAnswerMilliseconds: 300,
    /** Time for which the ends of idle sessions are collected before they are reported to the host, in milliseconds. */
    closeDelayMilliseconds: 500,
    /**
     * Time for which a connection stays open whose session the host has closed, in milliseconds: what its caller has just
     * sent is answered as not run.
     */
    hostClosedLingerMilliseconds: 100,
    /** Timeout of a forwarded statement at its host, whatever its route allows, in milliseconds. */
    answerTimeoutMilliseconds: 60_000,
    /** Time for which an unreachable host gets no new session, in milliseconds. */
    avoidMilliseconds: 1_500,
    /** Time for which a host waits for the routing table that the forwarding VM already has, in milliseconds. */
    routingTimeoutMilliseconds: 1_000,
    routingPollingMilliseconds: 20,
    /** Time for which the list of the workspaces that a VM serves is kept, in milliseconds. */
    hostedListMilliseconds: 1_000,
} as const;
