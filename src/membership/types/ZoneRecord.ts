/** Whether another availability zone is reachable from this one; passed on only within this zone. */
export interface ZoneRecord {
    readonly availabilityZone: string;
    readonly isLost: boolean;
    /** Raised with each change; the record with the higher stamp is kept. */
    readonly stamp: number;
}
