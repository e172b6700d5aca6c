/** What has to be confirmed, and in how large a group. */
export interface ConfirmationRule {
    readonly term: number;
    readonly position: number;
    /** Endpoints of the group, its primary included. */
    readonly endpointCount: number;
}
