import type { TopologyService } from "./TopologyService.js";

/** Topology of an entry, updated from the view of a gateway. */
export interface EntryTopology extends TopologyService {
    /** Number of known gateways in a region. */
    countGateways(region: string): number;
    start(): Promise<void>;
    stop(): Promise<void>;
}
