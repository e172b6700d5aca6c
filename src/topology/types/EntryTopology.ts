import type { TopologyService } from "./TopologyService.js";

/** An entry's topology, which follows a gateway while it runs. */
export interface EntryTopology extends TopologyService {
    start(): Promise<void>;
    stop(): Promise<void>;
}
