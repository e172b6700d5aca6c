import { siteConstants } from "../constants.js";
import { listLinks } from "../listLinks/index.js";
import { SiteBinary } from "../types/SiteBinary.js";
import type { SiteEndpoint } from "../types/SiteEndpoint.js";
import type { SitePlan } from "../types/SitePlan.js";
import type { SiteProgram } from "../types/SiteProgram.js";
import type { SiteVm } from "../types/SiteVm.js";

/**
 * Lists the programs of a site with their settings, in the order of their start.
 *
 * @param plan The site.
 * @returns The platform first, then the endpoints, the gateways and the entries.
 *
 * @example
 * const programs = listProgramSettings(await planSite(description));
 */
export function listProgramSettings(plan: SitePlan): SiteProgram[] {
    return [
        describePlatform(plan),
        ...plan.endpoints.map((endpoint, index) => describeEndpoint(plan, endpoint, index)),
        ...plan.vms.map((vm, index) => describeGateway(plan, vm, index)),
        ...plan.vms.map((vm, index) => describeEntry(plan, vm, index)),
    ];
}

function toListenSettings(
    { host, port }: { readonly host: string; readonly port: number; },
): { host: string; port: number; } {
    return { host, port };
}

function describePlatform(plan: SitePlan): SiteProgram {
    const settings = {
        listen: toListenSettings(plan.platform),
        admin: toListenSettings(plan.platformAdmin),
        network: toListenSettings(plan.network),
        links: listLinks(plan.description),
        vms: plan.vms.map(vm => ({
            name: vm.name,
            host: vm.gateway.host,
            gatewayPort: vm.gateway.port,
            availabilityZone: vm.availabilityZone,
            region: vm.region,
            state: "Live",
        })),
    };
    return { name: "platform", binary: SiteBinary.Platform, settings };
}

function describeEndpoint(plan: SitePlan, endpoint: SiteEndpoint, index: number): SiteProgram {
    const { description } = plan;
    const others = plan.endpoints.filter(other => other.database === endpoint.database && other !== endpoint);
    const settings = {
        name: endpoint.name,
        database: endpoint.database,
        availabilityZone: endpoint.address.availabilityZone,
        listen: toListenSettings(endpoint.address),
        admin: toListenSettings(endpoint.admin),
        peers: Object.fromEntries(others.map(other => [other.name, other.address])),
        emulatedNetwork: toListenSettings(plan.network),
        slots: description.slots,
        connectionLimit: description.connectionLimit,
        connectMilliseconds: description.connectMilliseconds,
        serviceMilliseconds: description.serviceMilliseconds,
        randomSeed: description.seed + index,
    };
    return { name: endpoint.name, binary: SiteBinary.Endpoint, settings };
}

function describeCommonSettings(plan: SitePlan, vm: SiteVm, seed: number): object {
    const { description } = plan;
    return {
        availabilityZone: vm.availabilityZone,
        region: vm.region,
        peerSecret: siteConstants.peerSecret,
        emulatedNetwork: toListenSettings(plan.network),
        randomSeed: seed,
        platform: plan.platform,
        ...(description.logTopics === undefined ? {} : { logTopics: description.logTopics }),
    };
}

function describeGateway(plan: SitePlan, vm: SiteVm, index: number): SiteProgram {
    const settings = {
        ...describeCommonSettings(plan, vm, plan.description.seed + index),
        name: `${vm.name}-gateway`,
        listen: toListenSettings(vm.gateway),
        seedGateways: plan.vms.filter(other => other !== vm).map(other => other.gateway),
    };
    return { name: `${vm.name}-gateway`, binary: SiteBinary.Gateway, settings };
}

function describeEntry(plan: SitePlan, vm: SiteVm, index: number): SiteProgram {
    const { readPolicy, entryLimits, seed } = plan.description;
    const settings = {
        ...describeCommonSettings(plan, vm, seed + plan.vms.length + index),
        name: `${vm.name}-entry`,
        listen: toListenSettings(vm.entry),
        localGateway: vm.gateway,
        otherGateways: plan.vms.filter(other => other !== vm).map(other => other.gateway),
        ...(readPolicy === undefined ? {} : { readPolicy }),
        ...(entryLimits === undefined ? {} : { callerLimits: entryLimits }),
    };
    return { name: `${vm.name}-entry`, binary: SiteBinary.Entry, settings };
}
