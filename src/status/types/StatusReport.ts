import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import type { GroupStatus } from "./GroupStatus.js";
import type { ProcessKind } from "./ProcessKind.js";

/** Status of one process, as reported to operators. */
export interface StatusReport {
    readonly process: string;
    readonly kind: ProcessKind;
    readonly availabilityZone: string;
    readonly isStopping: boolean;
    /** Configuration version in force. */
    readonly version: number;
    /** Gateways known to the process; empty for an entry. */
    readonly gateways: readonly PeerRecord[];
    readonly groups: readonly GroupStatus[];
    readonly leavingEndpoints: readonly string[];
    /** Failovers in progress, with the time since each started. */
    readonly failoverGaps: readonly { readonly database: string; readonly milliseconds: number; }[];
    readonly replicaReads: number;
    readonly primaryReads: number;
}
