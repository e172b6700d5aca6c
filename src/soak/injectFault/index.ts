import type { EndpointStandIn } from "../../platform/standIns/types/EndpointStandIn.js";
import { StoreMode } from "../../platform/standIns/types/StoreMode.js";
import { soakConstants } from "../constants.js";
import type { Fault } from "../types/Fault.js";
import { FaultKind } from "../types/FaultKind.js";
import type { FaultyProxy } from "../types/FaultyProxy.js";
import { LinkMode } from "../types/LinkMode.js";
import type { SoakSite } from "../types/SoakSite.js";
import type { SoakVm } from "../types/SoakVm.js";

/** Ends a fault. */
type EndFault = () => Promise<void> | void;

/** The VM, endpoint and link that a fault affects. */
interface FaultTarget {
    readonly site: SoakSite;
    readonly vm: SoakVm;
    readonly endpoint: EndpointStandIn;
    readonly endpointLink: FaultyProxy;
}

const noCleanup: EndFault = () => {};

function delayLink(link: FaultyProxy): EndFault {
    link.delayMilliseconds += soakConstants.linkDelayMilliseconds;
    return () => {
        link.delayMilliseconds -= soakConstants.linkDelayMilliseconds;
    };
}

function cutLink(link: FaultyProxy, mode: LinkMode): EndFault {
    link.mode = mode;
    return () => {
        link.mode = LinkMode.Passing;
    };
}

function setStoreMode({ platform }: SoakSite, mode: StoreMode): EndFault {
    platform.store.mode = mode;
    return () => {
        platform.store.mode = StoreMode.Serving;
    };
}

async function endVm(vm: SoakVm, signal: NodeJS.Signals): Promise<EndFault | undefined> {
    if (!vm.isRunning()) {
        return undefined;
    }
    await vm.terminate(signal);
    return vm.start;
}

const handlers: Readonly<
    Record<FaultKind, (target: FaultTarget) => Promise<EndFault | undefined> | EndFault | undefined>
> = {
    [FaultKind.VmPaused]: ({ vm }) => {
        vm.sendSignal("SIGSTOP");
        return () => vm.sendSignal("SIGCONT");
    },
    [FaultKind.VmKilled]: ({ vm }) => endVm(vm, "SIGKILL"),
    [FaultKind.VmStopped]: ({ vm }) => endVm(vm, "SIGTERM"),
    [FaultKind.VmReloaded]: ({ vm }) => {
        vm.rewriteSettings();
        if (!vm.isRunning()) {
            return undefined;
        }
        vm.sendSignal("SIGHUP");
        return noCleanup;
    },
    [FaultKind.CallersReset]: ({ vm }) => {
        vm.callerLink.reset();
        return noCleanup;
    },
    [FaultKind.CallersDelayed]: ({ vm }) => delayLink(vm.callerLink),
    [FaultKind.StoreCut]: ({ vm }) => cutLink(vm.storeLink, LinkMode.Cut),
    [FaultKind.StoreCutOneWay]: ({ vm }) => cutLink(vm.storeLink, LinkMode.CutFromServer),
    [FaultKind.StoreDelayed]: ({ vm }) => delayLink(vm.storeLink),
    [FaultKind.StoreBusy]: ({ site }) => setStoreMode(site, StoreMode.Busy),
    [FaultKind.StoreSilent]: ({ site }) => setStoreMode(site, StoreMode.Silent),
    [FaultKind.StoreLosingAnswers]: ({ site }) => setStoreMode(site, StoreMode.LosingAnswers),
    [FaultKind.StoreCompacted]: ({ site }) => {
        site.platform.store.compact();
        return noCleanup;
    },
    [FaultKind.StoreRestored]: ({ site }) => {
        const endOutage = setStoreMode(site, StoreMode.Busy);
        return async () => {
            site.platform.restoreStore(soakConstants.copyAgeMilliseconds);
            await endOutage();
        };
    },
    [FaultKind.EndpointKilled]: ({ site, endpoint }) => {
        if (endpoint.isIsolated) {
            return undefined;
        }
        endpoint.isIsolated = true;
        endpoint.kill();
        return async () => {
            await endpoint.restart();
            site.platform.rejoin(endpoint);
        };
    },
    [FaultKind.EndpointSilent]: ({ endpoint }) => {
        endpoint.isSilent = true;
        return () => {
            endpoint.isSilent = false;
        };
    },
    [FaultKind.EndpointIsolated]: ({ site, endpoint }) => {
        if (endpoint.isIsolated) {
            return undefined;
        }
        endpoint.isIsolated = true;
        return () => site.platform.rejoin(endpoint);
    },
    [FaultKind.EndpointLagging]: ({ endpoint }) => {
        endpoint.lagMilliseconds = soakConstants.replicaLagMilliseconds;
        return () => {
            endpoint.lagMilliseconds = 0;
        };
    },
    [FaultKind.EndpointLosingAnswers]: ({ endpoint }) => {
        endpoint.lostAnswers += 1;
        return noCleanup;
    },
    [FaultKind.EndpointBusy]: ({ endpoint }) => {
        endpoint.isBusy = true;
        return () => {
            endpoint.isBusy = false;
        };
    },
    [FaultKind.EndpointLinkReset]: ({ endpointLink }) => {
        endpointLink.reset();
        return noCleanup;
    },
    [FaultKind.EndpointLinkDelayed]: ({ endpointLink }) => delayLink(endpointLink),
    [FaultKind.EndpointLinkCutOneWay]: ({ endpointLink }) => cutLink(endpointLink, LinkMode.CutFromServer),
    [FaultKind.ConfigurationChanged]: ({ site }) => {
        site.changeConfiguration();
        return noCleanup;
    },
};

/**
 * Injects a fault from outside the processes under test.
 *
 * @param site The site.
 * @param fault The fault.
 * @returns A function that ends the fault; undefined if its target was already out of service.
 *
 * @example
 * const end = await injectFault(site, fault);
 * await clock.sleep(fault.durationMilliseconds);
 * await end?.();
 */
export async function injectFault(site: SoakSite, { kind, target }: Fault): Promise<EndFault | undefined> {
    const { endpoints } = site.platform;
    const endpointIndex = target % endpoints.length;
    return await handlers[kind]({
        site,
        vm: site.vms[target % site.vms.length]!,
        endpoint: endpoints[endpointIndex]!,
        endpointLink: site.endpointLinks[endpointIndex]!,
    });
}
