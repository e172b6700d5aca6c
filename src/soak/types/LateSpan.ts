/** A span of time in which a VM's answers may be late, in milliseconds on the soak's clock. */
export interface LateSpan {
    /** Number of the VM. */
    readonly vm: number;
    readonly from: number;
    readonly to: number;
}
