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

/** What a fault hits. */
interface FaultTarget {
    readonly site: SoakSite;
    readonly vm: SoakVm;
    readonly endpoint: EndpointStandIn;
    readonly endpointLink: FaultyProxy;
}

const nothing: EndFault = () => {};

function delay(link: FaultyProxy): EndFault {
    link.delayMilliseconds = soakConstants.linkDelayMilliseconds;
    return () => {
        link.delayMilliseconds = 0;
    };
}

function cut(link: FaultyProxy, mode: LinkMode): EndFault {
    link.mode = mode;
    return () => {
        link.mode = LinkMode.Passing;
    };
}

function changeStore({ platform }: SoakSite, mode: StoreMode): EndFault {
    platform.store.mode = mode;
    return () => {
        platform.store.mode = StoreMode.Serving;
    };
}

async function endVm(vm: SoakVm, signal: NodeJS.Signals): Promise<EndFault> {
    if (!vm.isRunning()) {
        return nothing;
    }
    await vm.end(signal);
    return vm.start;
}

const handlers: Readonly<Record<FaultKind, (target: FaultTarget) => Promise<EndFault> | EndFault>> = {
    [FaultKind.VmPaused]: ({ vm }) => {
        vm.signal("SIGSTOP");
        return () => vm.signal("SIGCONT");
    },
    [FaultKind.VmKilled]: ({ vm }) => endVm(vm, "SIGKILL"),
    [FaultKind.VmStopped]: ({ vm }) => endVm(vm, "SIGTERM"),
    [FaultKind.VmReloaded]: ({ vm }) => {
        vm.touchSettings();
        vm.signal("SIGHUP");
        return nothing;
    },
    [FaultKind.CallersReset]: ({ vm }) => {
        vm.callers.reset();
        return nothing;
    },
    [FaultKind.CallersDelayed]: ({ vm }) => delay(vm.callers),
    [FaultKind.StoreCut]: ({ vm }) => cut(vm.store, LinkMode.Cut),
    [FaultKind.StoreCutOneWay]: ({ vm }) => cut(vm.store, LinkMode.CutFromServer),
    [FaultKind.StoreDelayed]: ({ vm }) => delay(vm.store),
    [FaultKind.StoreBusy]: ({ site }) => changeStore(site, StoreMode.Busy),
    [FaultKind.StoreSilent]: ({ site }) => changeStore(site, StoreMode.Silent),
    [FaultKind.StoreLosingAnswers]: ({ site }) => changeStore(site, StoreMode.LosingAnswers),
    [FaultKind.StoreCompacted]: ({ site }) => {
        site.platform.store.compact();
        return nothing;
    },
    [FaultKind.EndpointKilled]: ({ site, endpoint }) => {
        if (endpoint.isIsolated) {
            return nothing;
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
            return nothing;
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
        return nothing;
    },
    [FaultKind.EndpointBusy]: ({ endpoint }) => {
        endpoint.isBusy = true;
        return () => {
            endpoint.isBusy = false;
        };
    },
    [FaultKind.EndpointLinkReset]: ({ endpointLink }) => {
        endpointLink.reset();
        return nothing;
    },
    [FaultKind.EndpointLinkDelayed]: ({ endpointLink }) => delay(endpointLink),
    [FaultKind.EndpointLinkCutOneWay]: ({ endpointLink }) => cut(endpointLink, LinkMode.CutFromServer),
    [FaultKind.ConfigurationChanged]: ({ site }) => {
        site.changeConfiguration();
        return nothing;
    },
};

/**
 * Injects a fault from outside the programs.
 *
 * @param site The site.
 * @param fault The fault.
 * @returns Ends the fault.
 *
 * @example
 * const end = await applyFault(site, fault);
 * await clock.sleep(fault.durationMilliseconds);
 * await end();
 */
export async function applyFault(site: SoakSite, { kind, target }: Fault): Promise<EndFault> {
    const { endpoints } = site.platform;
    const endpointIndex = target % endpoints.length;
    return await handlers[kind]({
        site,
        vm: site.vms[target % site.vms.length]!,
        endpoint: endpoints[endpointIndex]!,
        endpointLink: site.endpointLinks[endpointIndex]!,
    });
}
