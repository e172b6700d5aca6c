import type { LogPosition } from "../../../statements/types/LogPosition.js";
import type { LogEntry } from "./LogEntry.js";

/** An endpoint for tests; tests change its members to cause faults. */
export interface EndpointStandIn {
    readonly id: string;
    readonly group: string;
    readonly port: number;
    isPrimary: boolean;
    term: number;
    /** Newest term of a pause of replication; 0 while replication is not paused. */
    heldTerm: number;
    log: LogEntry[];
    /** The endpoint executes statements but sends nothing on its connections. */
    isSilent: boolean;
    /** Number of next commits after which the endpoint closes the connection instead of answering. */
    lostAnswers: number;
    /** The endpoint refuses reads and writes, as if no slot were free. */
    isBusy: boolean;
    /** The endpoint receives nothing from the other endpoints: neither commits nor a change of the primary. */
    isIsolated: boolean;
    /** Delay with which the endpoint applies commits of the primary. */
    lagMilliseconds: number;
    position(): LogPosition;
    /** Closes all connections and refuses new ones. */
    kill(): void;
    /** Accepts connections again after `kill`. */
    restart(): Promise<void>;
    /** Number of open connections. */
    countConnections(): number;
}
