import type { SessionOpening } from "../../callerSessions/types/SessionOpening.js";
import type { HostedSession } from "./HostedSession.js";

/** The connection of a forwarding VM to one host, over which all its sessions there run. */
export interface HostLink {
    /** Creates a session; the host opens it with the first statement. */
    openSession(opening: SessionOpening): HostedSession;
}
