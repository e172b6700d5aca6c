import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { Workspace } from "../../workspaces/types/Workspace.js";
import { forwardingConstants } from "../constants.js";
import type { SessionHosts } from "../types/SessionHosts.js";

/** Options of `createHostedWorkspaces`. */
interface HostedWorkspacesOptions {
    readonly clock: Pick<Clock, "now">;
    readonly directory: Pick<Directory, "routingTable">;
    readonly hosts: Pick<SessionHosts, "hostOf">;
}

/** The workspaces of one group that this VM serves. */
interface HostedList {
    readonly names: readonly string[];
    readonly listedAt: number;
    readonly routingVersion: number;
}

/**
 * Creates the list of the workspaces whose sessions this VM serves. A list is kept for a moment, since it takes a ranking
 * of the hosts for each workspace.
 *
 * @param options Clock, workspaces, and the choice of hosts.
 * @returns Lists the names of a group's workspaces, the one with the largest quota first.
 *
 * @example
 * const names = createHostedWorkspaces({ clock, directory, hosts })("orders");
 */
export function createHostedWorkspaces(options: HostedWorkspacesOptions): (group: string) => readonly string[] {
    const { clock, directory, hosts } = options;
    const lists = new Map<string, HostedList>();

    return group => {
        const { version = 0, workspaces = [] } = directory.routingTable() ?? {};
        const known = lists.get(group);
        const now = clock.now();
        const isKnown = known?.routingVersion === version
            && now - known.listedAt < forwardingConstants.hostedListMilliseconds;
        if (isKnown) {
            return known.names;
        }
        const names = workspaces
            .filter(({ name }) => hosts.hostOf(group, name) === undefined)
            .sort((left, right) => sizeOf(right) - sizeOf(left))
            .map(({ name }) => name);
        lists.set(group, { names, listedAt: now, routingVersion: version });
        return names;
    };
}

function sizeOf({ quota }: Workspace): number {
    return quota?.operationsPerSecond ?? Infinity;
}
