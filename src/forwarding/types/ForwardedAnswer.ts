import type { LogPosition } from "../../statements/types/LogPosition.js";
import type { SessionState } from "../../statements/types/SessionState.js";
import type { StatementFailure } from "../../statements/types/StatementFailure.js";

/** A host's answer to a forwarded statement. */
export interface ForwardedAnswer {
    readonly rows: readonly string[];
    /** The endpoint's signature; undefined when no endpoint was needed. */
    readonly signature?: string;
    readonly position?: LogPosition;
    readonly state: SessionState;
    /** Left out when the statement succeeded. */
    readonly failure?: StatementFailure;
    /** Version of the routing table in force at the host. */
    readonly routingVersion: number;
}
