import type { AnnouncementPhase } from "../../duty/types/AnnouncementPhase.js";
import type { ChangePhase } from "./ChangePhase.js";
import type { SettlementEndpoint } from "./SettlementEndpoint.js";
import type { SuccessionLease } from "./SuccessionLease.js";
import type { SuccessionPhase } from "./SuccessionPhase.js";
import type { WritePhase } from "./WritePhase.js";

/** An announcement of a holder; those of the new one have higher numbers. */
interface SuccessionAnnouncement {
    readonly sequence: number;
    readonly phase: AnnouncementPhase;
    /** The endpoint that leads since the last finished change. */
    readonly endpoint: number;
    /** Term that this endpoint reported then. */
    readonly term: number;
}

/** A state of the model of a succession: three endpoints, a holder with a change in progress, its successor, a VM. */
export interface SuccessionState {
    readonly endpoints: readonly SettlementEndpoint[];
    readonly former: {
        /** Progress with the change to the second endpoint. */
        readonly phase: ChangePhase;
        /** Whether its last verification still counts, so that it grants leases and gives orders. */
        readonly isVerified: boolean;
        readonly announcement: SuccessionAnnouncement;
    };
    readonly current: {
        readonly phase: SuccessionPhase;
        /** Whether the previous holder has handed over. */
        readonly isHandedOver: boolean;
        /** Endpoint that the new holder promotes. */
        readonly target: number;
        /** Highest term when the promotion was ordered. */
        readonly termBeforeOrder: number;
        readonly announcement: SuccessionAnnouncement;
    };
    readonly lease: SuccessionLease;
    /** The newest announcement that the VM has received. */
    readonly received: SuccessionAnnouncement;
    readonly write: WritePhase;
    /** The superseded endpoint that committed the write. */
    readonly writeEndpoint: number;
    /** Term with which it committed the write. */
    readonly writeTerm: number;
}
