/** Programs that run in a site. */
export enum SiteBinary {
    Endpoint = "Endpoint",
    Entry = "Entry",
    Gateway = "Gateway",
    Node = "Node",
    Operator = "Operator",
    Platform = "Platform",
}
