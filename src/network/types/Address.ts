/** Where a process or endpoint listens. */
export interface Address {
    readonly host: string;
    readonly port: number;
    readonly availabilityZone: string;
}
