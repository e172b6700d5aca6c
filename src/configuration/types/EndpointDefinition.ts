/** One endpoint of a database group. */
export interface EndpointDefinition {
    readonly name: string;
    readonly host: string;
    readonly port: number;
    readonly availabilityZone: string;
    readonly region: string;
    /** Maximum number of statements that it executes concurrently. */
    readonly slots: number;
    readonly connectionLimit: number;
}
