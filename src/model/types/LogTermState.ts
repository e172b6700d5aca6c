import type { LogPosition } from "../../statements/types/LogPosition.js";
import type { LogTermEndpoint } from "./LogTermEndpoint.js";

/** A state of the model of logs of different terms: endpoints that crash and return, and the holder that promotes them. */
export interface LogTermState {
    readonly endpoints: readonly LogTermEndpoint[];
    /** Index of the endpoint that was promoted last, and announced. */
    readonly leader: number;
    /** Term in which it leads. */
    readonly term: number;
    /** End of its log when it was promoted: entries beyond it with an earlier term were dropped. */
    readonly branchStart: LogPosition;
    /** Term that the holder knows to be announced; 0 when it knows none. */
    readonly announcedTerm: number;
    /** End of the leader's log, as far as the holder knows; empty before it asked. */
    readonly knownEnd: readonly LogPosition[];
    /** Number of crashes that may still happen. */
    readonly crashesLeft: number;
    /** Number of commits that may still happen. */
    readonly commitsLeft: number;
    /** Whether another VM may still become the holder. */
    readonly mayChangeHolder: boolean;
    /** Whether the newest branch was given up for an earlier one although an endpoint of it answers or returns. */
    readonly hasLeftBranch: boolean;
}
