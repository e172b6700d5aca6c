import { FaultKind } from "./types/FaultKind.js";

/** Faults after which a promotion may discard commits that no other endpoint had received. */
export const endpointFaultKinds: Partial<Record<FaultKind, true>> = {
    [FaultKind.EndpointKilled]: true,
    [FaultKind.EndpointSilent]: true,
    [FaultKind.EndpointIsolated]: true,
    [FaultKind.EndpointLagging]: true,
    [FaultKind.EndpointLinkReset]: true,
    [FaultKind.EndpointLinkCutOneWay]: true,
    [FaultKind.EndpointLinkDelayed]: true,
};
