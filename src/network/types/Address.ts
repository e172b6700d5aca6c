/** Network address and availability zone of a process or endpoint. */
export interface Address {
    readonly host: string;
    readonly port: number;
    readonly availabilityZone: string;
}
