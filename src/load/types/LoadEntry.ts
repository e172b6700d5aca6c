/** One entry as callers reach it. */
export interface LoadEntry {
    readonly name: string;
    readonly host: string;
    readonly port: number;
    readonly region: string;
    readonly availabilityZone: string;
}
