import type { Address } from "../../network/types/Address.js";

/** One life of the program on a VM. */
export interface VmIdentity {
    readonly name: string;
    /** Where other VMs call it. */
    readonly address: Address;
    /** Drawn at each start. */
    readonly incarnation: string;
}
