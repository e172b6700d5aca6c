import type { LogPosition } from "./LogPosition.js";
import type { ReplicaStatus } from "./ReplicaStatus.js";
import type { SessionState } from "./SessionState.js";
import type { StatementFailure } from "./StatementFailure.js";

/** An endpoint's complete answer to one statement. */
export interface StatementAnswer {
    /** The rows, each as the endpoint sent it. */
    readonly rows: readonly string[];
    /** The endpoint's signature of a success; undefined when the statement failed. */
    readonly signature?: string;
    readonly failure?: StatementFailure;
    /** State of the session on the endpoint after the statement. */
    readonly state: SessionState;
    /** Position of the endpoint's log after the statement; undefined when the answer contains none. */
    readonly position?: LogPosition;
    /** The endpoint's role and replication state, in the answer to a status query. */
    readonly replicaStatus?: ReplicaStatus;
}
