import type { VmState } from "./VmState.js";

/** One row of the platform's lagging list of VMs. */
export interface VmRecord {
    readonly name: string;
    readonly host: string;
    readonly gatewayPort: number;
    readonly availabilityZone: string;
    readonly region: string;
    readonly state: VmState;
}
