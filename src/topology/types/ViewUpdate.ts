import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import type { GroupRecord } from "./GroupRecord.js";

/** What a gateway tells an entry of the fleet: everything at first, then what changed. */
export interface ViewUpdate {
    readonly groups: readonly GroupRecord[];
    /** All gateways that are not dead; left out when unchanged. */
    readonly peers?: readonly PeerRecord[];
    /** All endpoints that are leaving; left out when unchanged. */
    readonly leavingEndpoints?: readonly string[];
}
