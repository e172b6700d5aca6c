import type { Directory } from "../../directory/types/Directory.js";
import type { SessionHosts } from "../types/SessionHosts.js";

/** Options of `createLoadControl`. */
interface LoadControlOptions {
    readonly directory: Pick<Directory, "routingTable">;
    readonly hosts: Pick<SessionHosts, "hostCountOf">;
    /** The other VMs that are known to be alive. */
    readonly otherVms: () => readonly unknown[];
}

/**
 * Creates the decision whether a VM controls the load of a group: admission by class and time, paces of endpoints, and
 * sparing openings.
 *
 * It does where workspaces compete, where only some VMs hold connections because endpoints accept too few for all, and
 * while it knows no other VM. Elsewhere each VM has its own connections and serves by priority and arrival.
 *
 * @param options The routing table, the hosts of each group and the other VMs.
 * @returns Whether the load of a group is controlled.
 *
 * @example
 * const isControlled = createLoadControl({ directory, hosts, otherVms: duty.otherVms });
 * isControlled("orders");
 */
export function createLoadControl({ directory, hosts, otherVms }: LoadControlOptions): (group: string) => boolean {
    return group => {
        const hasWorkspaces = (directory.routingTable()?.workspaces ?? []).length > 0;
        const otherCount = otherVms().length;
        return hasWorkspaces || otherCount === 0 || hosts.hostCountOf(group) <= otherCount;
    };
}
