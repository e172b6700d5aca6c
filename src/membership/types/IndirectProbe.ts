/** Asks a helper to probe a gateway that did not answer directly. */
export interface IndirectProbe {
    readonly target: string;
    readonly host: string;
    readonly port: number;
    readonly availabilityZone: string;
}
