import { setTimeout as sleep } from "node:timers/promises";
import { describeSmallSite } from "../../site/describeSmallSite/index.js";
import { sendAdminCall } from "../../site/sendAdminCall/index.js";
import { startSite } from "../../site/startSite/index.js";
import type { Site } from "../../site/types/Site.js";
import { readProcessUsage } from "../readProcessUsage/index.js";

/** Options of `measureIdleGateways`. */
interface IdleGatewaysOptions {
    readonly seed: number;
    readonly vmsPerZone: number;
    readonly databases: number;
    /** Pause between the readiness of the site and the measurement. */
    readonly stabilizationMilliseconds: number;
    readonly observedMilliseconds: number;
}

/** Mean resource usage of the gateways of a site without load. */
interface IdleGateways {
    readonly gateways: number;
    readonly databases: number;
    readonly coreShare: number;
    readonly residentMegabytes: number;
    readonly bytesPerSecond: number;
    /** Calls of all processes to the platform. */
    readonly platformCallsPerSecond: number;
}

interface CallCount {
    readonly count: number;
}

/**
 * Measures the resource usage of complete gateway processes without requests of callers: the cost of the control plane.
 *
 * @param options Seed, sizes and durations.
 * @returns Means over the gateways.
 *
 * @example
 * const figures = await measureIdleGateways({ seed: 1, vmsPerZone: 2, databases: 3, ...durations });
 */
export async function measureIdleGateways(options: IdleGatewaysOptions): Promise<IdleGateways> {
    const { seed, vmsPerZone, databases, observedMilliseconds } = options;
    const smallSite = describeSmallSite(seed);
    const site = await startSite({
        ...smallSite,
        regions: smallSite.regions.map(region => ({
            ...region,
            availabilityZones: region.availabilityZones.map(({ name }) => ({ name, vmCount: vmsPerZone })),
        })),
        databases: Array.from({ length: databases }, (_, index) => `catalog-${index + 1}`),
    });
    try {
        await sleep(options.stabilizationMilliseconds);
        const before = await readUsage(site);
        const callsBefore = await countPlatformCalls(site);
        await sleep(observedMilliseconds);
        const after = await readUsage(site);
        const calls = await countPlatformCalls(site) - callsBefore;
        const seconds = observedMilliseconds / 1_000;
        const gateways = site.plan.vms.length;
        return {
            gateways,
            databases,
            coreShare: (after.processorSeconds - before.processorSeconds) / seconds / gateways,
            residentMegabytes: after.residentMegabytes / gateways,
            bytesPerSecond: (after.bytes - before.bytes) / seconds / gateways,
            platformCallsPerSecond: calls / seconds,
        };
    }
    finally {
        await site.stop();
    }
}

async function readUsage(site: Site) {
    const usages = await Promise.all(
        site.plan.vms.map(vm => readProcessUsage(site.findProcess(`${vm.name}-gateway`).processId)),
    );
    const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
    return {
        processorSeconds: sum(usages.map(usage => usage.processorSeconds)),
        bytes: sum(usages.map(usage => usage.bytes)),
        residentMegabytes: sum(usages.map(usage => usage.residentMegabytes)),
    };
}

async function countPlatformCalls(site: Site): Promise<number> {
    const counts = await sendAdminCall(site.plan.platformAdmin, "/admin/counts") as readonly CallCount[];
    return counts.reduce((total, { count }) => total + count, 0);
}
