/** Whether another availability zone can be reached from this one; spread only within this zone. */
export interface ZoneRecord {
    readonly availabilityZone: string;
    readonly isLost: boolean;
    /** Raised with each change; a higher one replaces a lower one. */
    readonly stamp: number;
}
