import type { GapFigures } from "./GapFigures.js";

/** Write gaps by failure, with the failover service and with a renewed lease in its place. */
export interface FailoverFigures {
    readonly killed: GapFigures;
    readonly killedWhilePlatformDown: GapFigures;
    readonly frozen: GapFigures;
    readonly planned: GapFigures;
    /** Failovers one after the other in one outage of the platform, until no reserved term was left. */
    readonly failoversInOneOutage: number;
    readonly lease: GapFigures;
    readonly leaseMilliseconds: number;
    /** Gap that a kill caused in an outage of the platform of `outageMilliseconds`. */
    readonly leaseWhilePlatformDown: GapFigures;
    readonly outageMilliseconds: number;
    /** Acknowledged writes that the last primary does not hold, over all runs. */
    readonly lostWrites: number;
    readonly acknowledgedWrites: number;
}
