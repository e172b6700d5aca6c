import type { GroupState } from "./GroupState.js";
import type { ProbeAnswer } from "./ProbeAnswer.js";
import type { Suspicion } from "./Suspicion.js";

/** Keeps each database's group with a primary; acts for the databases that this gateway coordinates. */
export interface FailoverService {
    /** Passes a suspicion on to the coordinators of the database. Returns at once. */
    reportSuspicion(suspicion: Suspicion): void;
    /** Takes in a suspicion as a coordinator, without passing it on. */
    takeReport(suspicion: Suspicion): void;
    /** Probes an endpoint over a fresh connection, for another gateway. */
    probeEndpoint(endpoint: string): Promise<ProbeAnswer>;
    /** Gives up the reserved terms of the database for its coordinator, unless this gateway is that itself. */
    handOver(database: string): readonly number[];
    state(): readonly GroupState[];
    start(): Promise<void>;
    stop(): Promise<void>;
}
