/** Address and location of an entry. */
export interface LoadEntry {
    readonly name: string;
    readonly host: string;
    readonly port: number;
    readonly region: string;
    readonly availabilityZone: string;
}
