/** Lease of the VM with the write. */
export enum SuccessionLease {
    None = "None",
    /** Granted by the previous holder. */
    Former = "Former",
    /** Granted by the new holder. */
    Current = "Current",
}
