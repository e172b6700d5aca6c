import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { createLatencyEstimate } from "../createLatencyEstimate/index.js";
import type { ConnectionMetrics } from "./ConnectionMetrics.js";
import type { EndpointOpener } from "./EndpointOpener.js";

/** Options of `createPlacement`. */
export interface PlacementOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly directory: Directory;
    readonly primaries: Primaries;
    readonly open: EndpointOpener;
    /** Location of this VM. */
    readonly vmLocation: Parameters<typeof createLatencyEstimate>[1];
    /** Returns the number of VMs that share the connections of a group's endpoints. */
    readonly vmCount: (group: string) => number;
    /** Whether this VM is one of the VMs that hold connections to a group's endpoints. */
    readonly isHolding: (group: string) => boolean;
    /** Whether the load of a group is controlled; left out means that it is. */
    readonly isControlled?: (group: string) => boolean;
    /** Returns the names of the workspaces whose sessions this VM serves for a group, the largest first. */
    readonly listHostedWorkspaces?: (group: string) => readonly string[];
    readonly metrics: ConnectionMetrics & Pick<Metrics, "countWaitRefusal" | "registerGauge">;
    readonly log: LogTopic;
}
