/** What an endpoint currently is in its group. */
export enum EndpointRole {
    Primary = "Primary",
    Replica = "Replica",
    /** Fenced, or not yet told to follow anybody. */
    Detached = "Detached",
}
