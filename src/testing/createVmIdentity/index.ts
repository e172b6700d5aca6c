import type { VmIdentity } from "../../duty/types/VmIdentity.js";

/** Fields of a VM's identity that a test may choose. */
type VmIdentityChanges = Partial<Pick<VmIdentity, "capacity" | "incarnation">> & {
    readonly availabilityZone?: string;
};

/**
 * Creates the identity of a VM for tests; its name is also its host.
 *
 * @param name Name of the VM.
 * @param changes Fields that differ from the defaults.
 * @returns The identity.
 *
 * @example
 * const vm = createVmIdentity("vm-1", { availabilityZone: "b" });
 */
export function createVmIdentity(name: string, changes: VmIdentityChanges = {}): VmIdentity {
    const { availabilityZone = "a", ...fields } = changes;
    return { name, address: { host: name, port: 1, availabilityZone }, capacity: 1, incarnation: "1", ...fields };
}
