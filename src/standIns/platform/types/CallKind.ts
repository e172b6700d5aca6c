/** Kinds of calls that the platform counts. */
export enum CallKind {
    Read = "Read",
    List = "List",
    Create = "Create",
    Update = "Update",
    Watch = "Watch",
    ListVms = "ListVms",
}
