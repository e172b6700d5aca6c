/** Kind of owner of a connection to an endpoint; a metric's label, since names of workspaces are too many for one. */
export enum OwnerClass {
    Workspace = "Workspace",
    Anonymous = "Anonymous",
}
