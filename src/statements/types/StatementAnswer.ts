import type { LogPosition } from "./LogPosition.js";
import type { ReplicaStatus } from "./ReplicaStatus.js";
import type { SessionState } from "./SessionState.js";
import type { StatementFailure } from "./StatementFailure.js";

/** An endpoint's complete answer to one statement. */
export interface StatementAnswer {
    /** The rows, each as the endpoint wrote it. */
    readonly rows: readonly string[];
    /** What the endpoint signs a success with; undefined when the statement failed. */
    readonly signature?: string;
    readonly failure?: StatementFailure;
    /** State of the session on the endpoint after the statement. */
    readonly state: SessionState;
    /** Position of the endpoint's log after the statement; undefined when it tells none. */
    readonly position?: LogPosition;
    /** What the endpoint says of its place in its group, when it was asked. */
    readonly replicaStatus?: ReplicaStatus;
}
