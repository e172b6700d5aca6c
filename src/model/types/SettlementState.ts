import type { AnnouncementPhase } from "../../duty/types/AnnouncementPhase.js";
import type { SettlementEndpoint } from "./SettlementEndpoint.js";
import type { SettlementPhase } from "./SettlementPhase.js";
import type { SettlementScope } from "./SettlementScope.js";
import type { WritePhase } from "./WritePhase.js";

/** An announcement of the holder. */
interface SettlementAnnouncement {
    readonly sequence: number;
    readonly phase: AnnouncementPhase;
    /** The endpoint that leads since the last finished change. */
    readonly endpoint: number;
    /** Term that this endpoint reported then. */
    readonly term: number;
}

/** A state of the model of the settlement: three endpoints, a holder whose changes may fail, a VM with a write. */
export interface SettlementState {
    /** What the search covers; the same in all states. */
    readonly scope: SettlementScope;
    readonly endpoints: readonly SettlementEndpoint[];
    readonly phase: SettlementPhase;
    /** Number of changes that have begun. */
    readonly changes: number;
    readonly successor: number;
    /** Term that the successor reported before its promotion was ordered. */
    readonly termBeforeOrder: number;
    /** Whether the platform has answered the last order: it takes effect, or the endpoint already leads. */
    readonly isOrderAnswered: boolean;
    /** Whether an earlier change has an unknown end. */
    readonly hasUnknownEnd: boolean;
    /** The holder's newest announcement. */
    readonly announcement: SettlementAnnouncement;
    /** The newest announcement that the VM has received. */
    readonly received: SettlementAnnouncement;
    readonly hasLease: boolean;
    readonly write: WritePhase;
    /** The superseded endpoint that committed the write. */
    readonly writeEndpoint: number;
    /** Term with which it committed the write. */
    readonly writeTerm: number;
}
