import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import type { StatusReport } from "../../status/types/StatusReport.js";

/** Status reports of the whole fleet, and the gateways that did not answer. */
export interface FleetStatus {
    readonly gateways: readonly PeerRecord[];
    /** Reports of gateways and of the entries that report to them. */
    readonly reports: readonly StatusReport[];
    /** Gateways that did not answer in time. */
    readonly silentGateways: readonly PeerRecord[];
}
