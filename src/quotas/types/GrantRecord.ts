/** The record in the platform's store of the VMs that may hold grants. */
export interface GrantRecord {
    /** Whether a VM is recorded, so that it may get grants; a VM that is not is recorded soon. */
    admits(vm: string): boolean;
    /**
     * Reads the record of the predecessors, and writes it anew for this holder.
     *
     * @param onFormer Called with the names of the VMs that may hold grants of a predecessor, once no predecessor can
     * record another one; not called when this cannot be known.
     */
    takeOver(onFormer: (vms: readonly string[]) => void): void;
}
