import type { Statement } from "../../statements/types/Statement.js";

/** A caller's statement on its way to the host of the session. */
export interface ForwardedStatement {
    /** The session, as the host named it. */
    readonly sessionId: number;
    /** The caller's id of the statement. */
    readonly id: string;
    readonly statement: Statement;
    /** Newest routing table that the forwarding VM knows of; the host applies no older one. */
    readonly routingVersion: number;
}
