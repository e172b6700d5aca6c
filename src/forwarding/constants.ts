/** Constants of forwarding callers' sessions between VMs. */
export const forwardingConstants = {
    /** VMs of one zone that hold connections to a group's endpoints: one, and another for when it goes. */
    hostsPerZone: 2,
    /** In a zone with no more VMs than this, each VM holds connections of its own: the endpoints accept enough of them. */
    largestUnsharedZone: 6,
    /** The choice of hosts is made anew this often, in milliseconds. */
    choiceMilliseconds: 200,
    /** Time limit of opening a session at its host, in milliseconds. */
    openMilliseconds: 400,
    /** A statement that a host has not answered by then is given up there, whatever its route allows, in milliseconds. */
    answerMilliseconds: 60_000,
    /** A host that could not be reached gets no new session for this long, in milliseconds. */
    avoidMilliseconds: 1_500,
    /** A host waits this long for the routing table that the forwarding VM has already, in milliseconds. */
    routingMilliseconds: 1_000,
    routingCheckMilliseconds: 20,
} as const;
