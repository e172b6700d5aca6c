import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { createManualClock } from "../createManualClock/index.js";
import type { createSimulatedPlatform } from "../createSimulatedPlatform/index.js";
import type { HistoryEvent } from "./HistoryEvent.js";
import type { SimulatedEndpoints } from "./SimulatedEndpoints.js";
import type { SimulatedNetwork } from "./SimulatedNetwork.js";
import type { SimulatedStore } from "./SimulatedStore.js";
import type { SimulatedVm } from "./SimulatedVm.js";

/** What the VMs of a simulation share. */
export interface SimulatedEnvironment {
    readonly clock: ReturnType<typeof createManualClock>;
    readonly network: SimulatedNetwork;
    readonly store: SimulatedStore;
    readonly endpoints: SimulatedEndpoints;
    readonly platform: ReturnType<typeof createSimulatedPlatform>;
    readonly groups: readonly string[];
    readonly history: HistoryEvent[];
    /** Whether callers write through a VM at the moment. */
    readonly hasCallers: (vmName: string) => boolean;
    /** Returns the running process of a VM; undefined while it is down. */
    readonly findVm: (name: string) => SimulatedVm | undefined;
    /** Receives the log lines of all VMs. */
    readonly log: LogTopic;
}
