/** A VM among which hosts are chosen. */
export interface CandidateVm {
    readonly name: string;
    readonly address: { readonly availabilityZone: string; };
    /** Processor cores that the VM may use. */
    readonly capacity: number;
}
