/** What a coordinator has to do for its group. */
export enum GroupActionKind {
    /** Take over a primary that serves under a newer term than is recorded. */
    Adopt = "Adopt",
    /** Promote another endpoint. */
    ChangePrimary = "ChangePrimary",
    /** Find out whether a suspected primary still serves. */
    ConfirmSuspicion = "ConfirmSuspicion",
    /** Move the primary away from an endpoint that is leaving. */
    PlannedChange = "PlannedChange",
    /** Tell endpoints to follow the current term. */
    Repair = "Repair",
    Wait = "Wait",
}
