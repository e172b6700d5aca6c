import type { GapFigures } from "./GapFigures.js";

/** Write gaps by kind of failure, with the failover service and with a renewed lease instead of it. */
export interface FailoverFigures {
    readonly killed: GapFigures;
    readonly killedWhilePlatformDown: GapFigures;
    readonly frozen: GapFigures;
    readonly planned: GapFigures;
    /** Number of successive failovers in one outage of the platform, until no reserved term was left. */
    readonly failoversInOneOutage: number;
    readonly lease: GapFigures;
    readonly leaseMilliseconds: number;
    /** Gaps after a kill of the primary during a platform outage of `outageMilliseconds`. */
    readonly leaseWhilePlatformDown: GapFigures;
    readonly outageMilliseconds: number;
    /** Number of acknowledged writes that the last primary does not hold, over all runs. */
    readonly lostWrites: number;
    readonly acknowledgedWrites: number;
}
