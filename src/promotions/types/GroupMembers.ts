/** The processes of endpoints that may hold commits which were acknowledged with synchronous replicas. */
export interface GroupMembers {
    /** Brings the members of a group up to date with the directory; called regularly by the holder of the failover duty. */
    update(group: string): void;
    /** Number of members of a group, its primary included; undefined while earlier members are unknown. */
    countOf(group: string): number | undefined;
}
