/** The term and position to be confirmed, and the size of the group. */
export interface ConfirmationRule {
    readonly term: number;
    readonly position: number;
    /** Number of endpoints of the group, its primary included. */
    readonly endpointCount: number;
}
