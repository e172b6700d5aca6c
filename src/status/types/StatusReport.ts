import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import type { GroupStatus } from "./GroupStatus.js";
import type { ProcessKind } from "./ProcessKind.js";

/** What one process reports for the view of the whole fleet. */
export interface StatusReport {
    readonly process: string;
    readonly kind: ProcessKind;
    readonly availabilityZone: string;
    readonly isStopping: boolean;
    /** Configuration version in force. */
    readonly version: number;
    /** Gateways that it knows; empty for an entry. */
    readonly gateways: readonly PeerRecord[];
    readonly groups: readonly GroupStatus[];
    readonly leavingEndpoints: readonly string[];
    /** Failovers under way, with the time since each began. */
    readonly failoverGaps: readonly { readonly database: string; readonly milliseconds: number; }[];
    readonly replicaReads: number;
    readonly primaryReads: number;
}
