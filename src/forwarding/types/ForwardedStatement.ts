import type { Statement } from "../../statements/types/Statement.js";

/** A caller's statement that is sent to the host of the session. */
export interface ForwardedStatement {
    /** Id that the host gave the session. */
    readonly sessionId: number;
    /** The caller's id of the statement. */
    readonly id: string;
    readonly statement: Statement;
    /** Newest version of the routing table known to the forwarding VM; the host applies no older one. */
    readonly routingVersion: number;
}
