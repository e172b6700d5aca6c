/** Kinds of statements that are sent to endpoints. */
export enum OutgoingKind {
    Forwarded = "Forwarded",
    ForwardedExecution = "ForwardedExecution",
    Begin = "Begin",
    Rollback = "Rollback",
    /** Clears the values and prepared statements of the connection. */
    Discard = "Discard",
    SetValue = "SetValue",
    Prepare = "Prepare",
    ReadStatus = "ReadStatus",
    PauseReplication = "PauseReplication",
    ResumeReplication = "ResumeReplication",
    StepDown = "StepDown",
}
