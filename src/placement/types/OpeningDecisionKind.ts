/** What a pool does about a connection that an owner needs. */
export enum OpeningDecisionKind {
    /** Open it. */
    Open = "Open",
    /** Close an idle connection of another owner and open it. */
    Replace = "Replace",
    /** Open none at present. */
    Wait = "Wait",
}
