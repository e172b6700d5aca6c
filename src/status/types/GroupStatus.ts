/** State of a database group, as known to one gateway. */
export interface GroupStatus {
    readonly database: string;
    readonly term: number;
    readonly primary: string;
    /** The coordinator of the group's failover; present only if it is the reporting gateway. */
    readonly coordinator?: string;
}
