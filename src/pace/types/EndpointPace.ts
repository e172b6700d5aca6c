import type { StatementEnd } from "./StatementEnd.js";

/** The pace of one endpoint: how many statements this VM runs there. */
export interface EndpointPace {
    /** Time until a statement may start, in milliseconds; 0 if one may now, infinite if one has to end first. */
    millisecondsUntilFree(): number;
    /** Counts a statement as begun. */
    begin(): void;
    /** Counts a statement as ended. */
    end(end: StatementEnd, latencyMilliseconds: number): void;
    /** Begins anew with a low limit: the endpoint has started, returned or become the primary. */
    restart(): void;
    /** The limit, in statements. */
    limit(): number;
    /** Whether a limit is in force. */
    isLimited(): boolean;
    inUse(): number;
    /** Moving average of the latencies, in milliseconds. */
    averageMilliseconds(): number;
}
