import { FaultKind } from "./types/FaultKind.js";
import { FaultScope } from "./types/FaultScope.js";

/** What each kind of fault affects. */
export const faultScopes: Readonly<Record<FaultKind, FaultScope>> = {
    [FaultKind.VmPaused]: FaultScope.Vm,
    [FaultKind.VmKilled]: FaultScope.Vm,
    [FaultKind.VmStopped]: FaultScope.Planned,
    [FaultKind.VmReloaded]: FaultScope.Planned,
    [FaultKind.CallersReset]: FaultScope.Vm,
    [FaultKind.CallersDelayed]: FaultScope.Vm,
    [FaultKind.StoreCut]: FaultScope.Vm,
    [FaultKind.StoreCutOneWay]: FaultScope.Vm,
    [FaultKind.StoreDelayed]: FaultScope.Vm,
    [FaultKind.StoreBusy]: FaultScope.Site,
    [FaultKind.StoreSilent]: FaultScope.Site,
    [FaultKind.StoreLosingAnswers]: FaultScope.Site,
    [FaultKind.StoreCompacted]: FaultScope.Site,
    [FaultKind.StoreRestored]: FaultScope.Site,
    [FaultKind.EndpointKilled]: FaultScope.Endpoint,
    [FaultKind.EndpointSilent]: FaultScope.Endpoint,
    [FaultKind.EndpointIsolated]: FaultScope.Endpoint,
    [FaultKind.EndpointLagging]: FaultScope.Endpoint,
    [FaultKind.EndpointLosingAnswers]: FaultScope.Endpoint,
    [FaultKind.EndpointBusy]: FaultScope.Endpoint,
    [FaultKind.EndpointLinkReset]: FaultScope.Endpoint,
    [FaultKind.EndpointLinkDelayed]: FaultScope.Endpoint,
    [FaultKind.EndpointLinkCutOneWay]: FaultScope.Endpoint,
    [FaultKind.ConfigurationChanged]: FaultScope.Planned,
};
