import type { GroupState } from "./GroupState.js";
import type { ProbeAnswer } from "./ProbeAnswer.js";
import type { Suspicion } from "./Suspicion.js";

/** Maintains a primary in the group of each database that this gateway coordinates. */
export interface FailoverService {
    /** Forwards a suspicion to the coordinators of the database. Returns without waiting for them. */
    reportSuspicion(suspicion: Suspicion): void;
    /** Handles a suspicion on a coordinator or standby, without forwarding it. */
    handleSuspicion(suspicion: Suspicion): void;
    /** Probes an endpoint over a fresh connection, on behalf of another gateway. */
    probeEndpoint(endpoint: string): Promise<ProbeAnswer>;
    /** Relinquishes the reserved terms of the database to its coordinator; none when this gateway coordinates it. */
    handOver(database: string): readonly number[];
    state(): readonly GroupState[];
    start(): Promise<void>;
    stop(): Promise<void>;
}
