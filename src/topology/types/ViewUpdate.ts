import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import type { GroupRecord } from "./GroupRecord.js";

/** Update of a gateway's view of the fleet, sent to entries: first the whole view, then changes. */
export interface ViewUpdate {
    readonly groups: readonly GroupRecord[];
    /** All gateways that are not dead; left out when unchanged. */
    readonly peers?: readonly PeerRecord[];
    /** All endpoints that are leaving; left out when unchanged. */
    readonly leavingEndpoints?: readonly string[];
}
