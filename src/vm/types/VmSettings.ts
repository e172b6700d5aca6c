import type { CallerLimits } from "../../callerSessions/types/CallerLimits.js";
import type { MachineMemory } from "../../memory/types/MachineMemory.js";
import type { Address } from "../../network/types/Address.js";
import type { QuotaExcess } from "../../quotas/types/QuotaExcess.js";

/** Settings of the program that runs on every VM. */
export interface VmSettings {
    /** Unique name of the VM. */
    readonly name: string;
    readonly availabilityZone: string;
    readonly region: string;
    /** The region of each availability zone. */
    readonly regionsByZone: Readonly<Record<string, string>>;
    /** Whether the whole installation starts for the first time. */
    readonly isFirstStart: boolean;
    /** Address on which the VM accepts callers. */
    readonly callerAddress: Address;
    /** Address on which the VM answers the platform's readiness probe. */
    readonly readinessAddress: Address;
    /** Address on which the VM accepts calls of other VMs. */
    readonly peerAddress: Address;
    readonly storeAddress: Address;
    /** Address of the platform's service that promotes endpoints. */
    readonly promotionAddress: Address;
    /** Processor cores that the VM may use. */
    readonly capacity: number;
    /** Memory of the VM, and what callers' connections may hold of it. */
    readonly memory: MachineMemory;
    readonly callerLimits: CallerLimits;
    /** Time within which a configuration has to be in force on every VM. */
    readonly configurationMilliseconds: number;
    /** Time from the order to stop until the process is killed. */
    readonly graceMilliseconds: number;
    /** What the VMs together may admit of a workspace beyond its quota. */
    readonly quotaExcess: QuotaExcess;
}
