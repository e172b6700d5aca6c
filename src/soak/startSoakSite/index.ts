import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Clock } from "../../clock/types/Clock.js";
import { createPlatformStandIn } from "../../platform/standIns/createPlatformStandIn/index.js";
import type { StandInWorkspace } from "../../platform/standIns/types/StandInWorkspace.js";
import { reservePorts } from "../../site/reservePorts/index.js";
import { soakConstants } from "../constants.js";
import { createFaultyProxy } from "../createFaultyProxy/index.js";
import { createSoakRoutes } from "../createSoakRoutes/index.js";
import { startSoakVm } from "../startSoakVm/index.js";
import type { FaultyProxy } from "../types/FaultyProxy.js";
import type { SoakSite } from "../types/SoakSite.js";

const portsPerVm = 3;

/**
 * Starts the site of a soak test: the platform stand-in in this process, VMs as processes, and links between them.
 *
 * @param vmCount Number of VMs.
 * @param clock Source of time.
 * @param workspaces The workspaces whose keys callers need; left out when they need none.
 * @returns The site; its VMs may not be ready yet.
 *
 * @example
 * const site = await startSoakSite(6, clock);
 */
export async function startSoakSite(
    vmCount: number,
    clock: Clock,
    workspaces?: readonly StandInWorkspace[],
): Promise<SoakSite> {
    const { group, zones, promotionMilliseconds } = soakConstants;
    const endpointLinks: FaultyProxy[] = [];
    const platform = await createPlatformStandIn({
        group,
        zones,
        promotionMilliseconds,
        chooseRegisteredPort: async ({ port }) => {
            const link = await createFaultyProxy("127.0.0.1", port, clock);
            link.delayMilliseconds = soakConstants.endpointLinkDelayMilliseconds;
            endpointLinks.push(link);
            return link.port;
        },
    });
    const folder = await mkdtemp(join(tmpdir(), "tarragonpost-soak-"));
    let version = 0;

    function changeConfiguration(): void {
        version += 1;
        platform.configure(
            version,
            // The versions differ only in the priority, which does not affect the guarantees.
            createSoakRoutes(version % 2),
            workspaces,
        );
    }

    changeConfiguration();
    const indices = Array.from({ length: vmCount }, (_, index) => index);
    const { ports, release } = await reservePorts(portsPerVm * vmCount);
    const vms = await Promise.all(indices.map(index =>
        startSoakVm({
            index,
            ports: ports.slice(index * portsPerVm, (index + 1) * portsPerVm),
            platform,
            folder,
            clock,
        })
    ));

    async function stop(): Promise<void> {
        await Promise.all(vms.map(vm => vm.terminate("SIGTERM")));
        [...endpointLinks, ...vms.flatMap(vm => [vm.callerLink, vm.storeLink])].forEach(link => link.stop());
        platform.stop();
        await rm(folder, { recursive: true, force: true });
        await release();
    }

    return { platform, vms, ...workspaces && { workspaces }, endpointLinks, changeConfiguration, stop };
}
