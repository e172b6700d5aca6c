/** Request to a helper to probe a gateway that did not answer a direct probe; also the target of a direct probe. */
export interface IndirectProbe {
    readonly target: string;
    readonly host: string;
    readonly port: number;
    readonly availabilityZone: string;
}
