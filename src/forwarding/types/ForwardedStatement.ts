import type { RoutingTable } from "../../directory/types/RoutingTable.js";
import type { Statement } from "../../statements/types/Statement.js";

/** A caller's statement that is sent to the host of the session. */
export interface ForwardedStatement {
    /** Key that the forwarding VM gave the session; unique among all VMs. */
    readonly sessionKey: string;
    /** The session's database; present until the host has answered a first statement, which opens the session. */
    readonly database?: string;
    /** Digest of the caller's key; present together with the database. */
    readonly keyDigest?: string;
    /** The caller's id of the statement. */
    readonly id: string;
    readonly statement: Statement;
    /** Newest version of the routing table known to the forwarding VM; the host applies no older one. */
    readonly routingVersion: number;
    /** The sender's routing table; present when the host's last answer told an older version. */
    readonly routingTable?: RoutingTable;
    /** Keys of sessions that the forwarding VM has closed since its last message. */
    readonly closedKeys?: readonly string[];
}
