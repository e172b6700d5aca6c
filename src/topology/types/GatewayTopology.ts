import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import type { GroupRecord } from "./GroupRecord.js";
import type { TopologyService } from "./TopologyService.js";

/** Topology of a gateway, with the data that the gateway sends to entries. */
export interface GatewayTopology extends TopologyService {
    groups(): readonly GroupRecord[];
    leavingEndpoints(): readonly string[];
    peers(): readonly PeerRecord[];
    /** Calls the listener after each change of groups, peers or leaving endpoints. */
    onViewChange(listener: () => void): () => void;
}
