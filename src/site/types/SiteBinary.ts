/** Programs that a site consists of. */
export enum SiteBinary {
    Endpoint = "Endpoint",
    Entry = "Entry",
    Gateway = "Gateway",
    Node = "Node",
    Operator = "Operator",
    Platform = "Platform",
}
