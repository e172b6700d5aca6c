/** A database group as one gateway knows it. */
export interface GroupStatus {
    readonly database: string;
    readonly term: number;
    readonly primary: string;
    /** The gateway that would order its failover, when it is the reporting one. */
    readonly coordinator?: string;
}
