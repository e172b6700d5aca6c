import type { Address } from "../../network/types/Address.js";

/** One run of the program on a VM. */
export interface VmIdentity {
    readonly name: string;
    /** Address that other VMs use for calls to this VM. */
    readonly address: Address;
    /** Processor cores that the VM may use. */
    readonly capacity: number;
    /** Chosen at random at each start of the program. */
    readonly incarnation: string;
}
