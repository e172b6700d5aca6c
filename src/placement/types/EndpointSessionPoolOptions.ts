import type { Clock } from "../../clock/types/Clock.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { ConnectionMetrics } from "./ConnectionMetrics.js";
import type { EndpointOpener } from "./EndpointOpener.js";

/** Options of `createEndpointSessionPool`. */
export interface EndpointSessionPoolOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** When this process started, on its clock. */
    readonly startedAt: number;
    readonly open: EndpointOpener;
    /** Returns the endpoint's newest record; undefined once it is removed. */
    readonly record: () => EndpointRecord | undefined;
    /** Whether openings are sparing after a loss of VMs; left out means that they are. */
    readonly isControlled?: () => boolean;
    /** Returns the number of connections that may be open. */
    readonly limit: () => number;
    /** Returns the number of connections that may be open while places are left to other VMs. */
    readonly sparingLimit: () => number;
    /** Whether this VM is meant to hold connections to the endpoint; otherwise idle ones are left to other VMs. */
    readonly isHolding: () => boolean;
    /** Called when a connection became available, was closed or could not be opened, and after a pause. */
    readonly onChange: () => void;
    readonly metrics: ConnectionMetrics;
    readonly log: LogTopic;
}
