/** Current role of an endpoint in its group. */
export enum EndpointRole {
    Primary = "Primary",
    Replica = "Replica",
    /** Fenced, or not yet assigned a primary to follow. */
    Detached = "Detached",
}
