import type { TopologyService } from "./TopologyService.js";

/** An entry's topology, which follows a gateway while it runs. */
export interface EntryTopology extends TopologyService {
    /** Gateways that are known in a region. */
    countGateways(region: string): number;
    start(): Promise<void>;
    stop(): Promise<void>;
}
