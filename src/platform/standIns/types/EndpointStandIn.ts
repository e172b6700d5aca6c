import type { LogPosition } from "../../../statements/types/LogPosition.js";
import type { LogEntry } from "./LogEntry.js";

/** One endpoint for tests, with what a test may change of it. */
export interface EndpointStandIn {
    readonly id: string;
    readonly group: string;
    readonly port: number;
    isPrimary: boolean;
    term: number;
    /** Newest term of a pause; 0 while it receives. */
    heldTerm: number;
    log: LogEntry[];
    /** It answers no statement. */
    isSilent: boolean;
    /** It runs the next writes and does not answer them. */
    lostAnswers: number;
    /** Reads and writes are refused for want of a slot. */
    isBusy: boolean;
    /** It does not hear of other endpoints: neither of new commits nor of a new primary. */
    isIsolated: boolean;
    /** Time after which it applies commits, in milliseconds. */
    lagMilliseconds: number;
    position(): LogPosition;
    /** Closes all connections and refuses new ones. */
    kill(): void;
    /** Listens again after it was killed. */
    restart(): Promise<void>;
    /** Connections that are open. */
    connections(): number;
}
