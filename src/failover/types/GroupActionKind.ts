/** Kinds of actions of a coordinator. */
export enum GroupActionKind {
    /** Publish a primary that serves under a newer term than the recorded one, once its marker is confirmed. */
    PublishNewerPrimary = "Adopt",
    /** Promote another endpoint. */
    ChangePrimary = "ChangePrimary",
    /** Verify whether a suspected primary still serves. */
    VerifyPrimary = "ConfirmSuspicion",
    /** Move the primary away from an endpoint that is leaving. */
    PlannedChange = "PlannedChange",
    /** Order endpoints to follow the primary of the recorded term. */
    Repair = "Repair",
    Wait = "Wait",
}
