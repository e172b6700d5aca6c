/** One endpoint of a database group. */
export interface EndpointDefinition {
    readonly name: string;
    readonly host: string;
    readonly port: number;
    readonly availabilityZone: string;
    readonly region: string;
    /** Statements that it runs at once. */
    readonly slots: number;
    readonly connectionLimit: number;
}
