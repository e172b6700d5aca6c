import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import { chooseHosts } from "../chooseHosts/index.js";
import { forwardingConstants } from "../constants.js";
import { rankWorkspaceHosts } from "../rankWorkspaceHosts/index.js";
import type { SessionHosts } from "../types/SessionHosts.js";

/** Options of `createSessionHosts`. */
interface SessionHostsOptions {
    readonly clock: Clock;
    /** This VM. */
    readonly self: Pick<VmIdentity, "name" | "address" | "capacity">;
    readonly directory: Pick<Directory, "groups" | "onChange">;
    /** The other VMs that are alive; the same array as long as they do not change. */
    readonly otherVms: () => readonly VmIdentity[];
    /** Whether this VM is known to hold connections to endpoints. */
    readonly isHost: () => boolean;
    /** Returns the region of an availability zone; when left out, each zone counts as a region. */
    readonly regionOf?: (availabilityZone: string) => string | undefined;
}

/**
 * Creates the choice of the VMs that serve sessions for others.
 *
 * Sessions of one group are spread over the hosts of the zone; those of a workspace have one host in the region, so that
 * few VMs hold its connections. A host that was unreachable gets no new session for a while. When all hosts are avoided,
 * this VM serves the session itself.
 *
 * @param options Clock, this VM and the others.
 * @returns The choice.
 *
 * @example
 * const host = hosts.hostOf("orders");
 */
export function createSessionHosts(options: SessionHostsOptions): SessionHosts {
    const { clock, self, directory, otherVms } = options;
    const avoidedUntil = new Map<string, number>();
    let forwardedCount = 0;
    let chosen: ReturnType<typeof chooseHosts> = new Map();
    let chosenAmong: readonly VmIdentity[] | undefined;
    let groups: readonly string[] = [];

    directory.onChange(() => {
        const current = directory.groups();
        if (current.length !== groups.length || current.some(group => !chosen.has(group))) {
            chosenAmong = undefined;
        }
    });

    function listNames(group: string): ReadonlySet<string> {
        const others = otherVms();
        if (others !== chosenAmong) {
            groups = directory.groups();
            chosen = chooseHosts(groups, [self, ...others]);
            chosenAmong = others;
        }
        return chosen.get(group) ?? new Set([self.name]);
    }

    function otherHostsOf(group: string): readonly VmIdentity[] {
        const names = listNames(group);
        return otherVms().filter(({ name }) => names.has(name));
    }

    function isAvoided(name: string): boolean {
        return clock.now() < (avoidedUntil.get(name) ?? -Infinity);
    }

    function regionOf({ availabilityZone }: VmIdentity["address"]): string {
        return options.regionOf?.(availabilityZone) ?? availabilityZone;
    }

    function hostOfWorkspace(group: string, workspace: string): VmIdentity | undefined {
        const names = listNames(group);
        const region = regionOf(self.address);
        const candidates = [self, ...otherVms()].filter(({ name, address }) =>
            names.has(name) && regionOf(address) === region
        );
        const name = rankWorkspaceHosts(group, workspace, candidates).find(each => !isAvoided(each));
        return name === self.name ? undefined : otherVms().find(vm => vm.name === name);
    }

    function hostOf(group: string, workspace?: string): VmIdentity | undefined {
        if (workspace !== undefined) {
            return hostOfWorkspace(group, workspace);
        }
        if (listNames(group).has(self.name)) {
            return undefined;
        }
        const hostsInZone = otherHostsOf(group).filter(({ name, address }) =>
            address.availabilityZone === self.address.availabilityZone && !isAvoided(name)
        );
        forwardedCount += 1;
        return hostsInZone[forwardedCount % Math.max(hostsInZone.length, 1)];
    }

    return {
        hostOf,
        otherHostsOf,
        isHostOf: group => options.isHost() && listNames(group).has(self.name),
        hostCountOf: group => listNames(group).size,
        avoid: ({ name }) => {
            avoidedUntil.set(name, clock.now() + forwardingConstants.avoidMilliseconds);
        },
    };
}
