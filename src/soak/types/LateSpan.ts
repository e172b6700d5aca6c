/** An interval in which answers of a VM may be late, in milliseconds on the clock of the run. */
export interface LateSpan {
    /** Number of the VM. */
    readonly vm: number;
    readonly from: number;
    readonly to: number;
}
