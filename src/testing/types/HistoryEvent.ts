import type { LogPosition } from "../../statements/types/LogPosition.js";
import type { HistoryEventKind } from "./HistoryEventKind.js";

/** An event of a simulation that the checks of its history need; the events are listed in the order of execution. */
export type HistoryEvent =
    /** A promotion took effect. */
    | {
        readonly kind: HistoryEventKind.Promotion;
        readonly at: number;
        readonly group: string;
        readonly endpointId: string;
        readonly term: number;
        /** End of the endpoint's log. */
        readonly position: LogPosition;
    }
    /** An endpoint committed a write. */
    | {
        readonly kind: HistoryEventKind.Commit;
        readonly at: number;
        readonly group: string;
        readonly endpointId: string;
        readonly writeId: string;
        readonly position: LogPosition;
    }
    /** A caller sent a read that has to see every commit that was acknowledged before. */
    | {
        readonly kind: HistoryEventKind.ReadRequest;
        readonly at: number;
        readonly group: string;
        readonly readId: string;
    }
    /** A caller received the success of its read. */
    | {
        readonly kind: HistoryEventKind.ReadAnswer;
        readonly at: number;
        readonly group: string;
        readonly readId: string;
    }
    /** An endpoint ran a read on its log. */
    | {
        readonly kind: HistoryEventKind.Read;
        readonly at: number;
        readonly group: string;
        readonly endpointId: string;
        readonly readId: string;
        readonly position: LogPosition;
    }
    /** A caller received the success of its write. */
    | {
        readonly kind: HistoryEventKind.Acknowledgement;
        readonly at: number;
        readonly group: string;
        readonly writeId: string;
    }
    /** An order to promote arrived at the platform. */
    | {
        readonly kind: HistoryEventKind.Order;
        readonly at: number;
        readonly holderName: string;
        readonly fencingToken: number;
        readonly endpointId: string;
    };
