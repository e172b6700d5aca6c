/** How the quota of a workspace decided on an operation. */
export enum QuotaOutcome {
    /** Admitted at once from a grant. */
    Granted = "Granted",
    /** Admitted at once from what a VM may admit without a grant. */
    WithoutGrant = "WithoutGrant",
    /** Admitted after a wait. */
    Waited = "Waited",
    /** Refused, at once or after a wait. */
    Refused = "Refused",
}
