import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import type { StatusReport } from "../../status/types/StatusReport.js";

/** The answers of all gateways, and those that gave none. */
export interface FleetSurvey {
    readonly gateways: readonly PeerRecord[];
    /** Reports of gateways and of the entries that report to them. */
    readonly reports: readonly StatusReport[];
    readonly silentGateways: readonly PeerRecord[];
}
