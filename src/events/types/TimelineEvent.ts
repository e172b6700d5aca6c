import type { EventKind } from "./EventKind.js";
import type { HybridTimestamp } from "./HybridTimestamp.js";

/** One event of one process on the time line. */
export interface TimelineEvent {
    readonly timestamp: HybridTimestamp;
    readonly process: string;
    readonly sequence: number;
    readonly kind: EventKind;
    readonly database?: string;
    readonly endpoint?: string;
    readonly requestId?: string;
    readonly term?: number;
    readonly version?: number;
    readonly text: string;
}
