/** Kinds of records that gateways pass on to each other. */
export enum RecordKind {
    ConfigurationVersion = "ConfigurationVersion",
    EndpointLeaving = "EndpointLeaving",
    Group = "Group",
}
