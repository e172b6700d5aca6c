import type { Address } from "../../network/types/Address.js";

/** Settings of the program that runs on every VM. */
export interface VmSettings {
    /** Unique name of the VM. */
    readonly name: string;
    readonly availabilityZone: string;
    readonly region: string;
    /** The region of each availability zone. */
    readonly regionsByZone: Readonly<Record<string, string>>;
    /** Where callers connect. */
    readonly callerAddress: Address;
    /** Where the platform asks whether the VM takes new connections. */
    readonly readinessAddress: Address;
    /** Where other VMs call this one. */
    readonly peerAddress: Address;
    readonly storeAddress: Address;
    /** Where promotions are ordered. */
    readonly promotionAddress: Address;
    /** Time from the order to stop until the process is killed. */
    readonly graceMilliseconds: number;
}
