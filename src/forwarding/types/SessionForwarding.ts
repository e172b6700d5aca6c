import type { CallerConnection } from "../../callerSessions/types/CallerConnection.js";
import type { CallerSession } from "../../callerSessions/types/CallerSession.js";

/** Forwards sessions of callers to the VMs that hold connections to their group's endpoints. */
export interface SessionForwarding {
    /**
     * Forwards a session that was just opened.
     *
     * Returns undefined when this VM is to serve it. `createLocal` makes the session that serves it here when the host
     * turns out not to be there.
     */
    forward(
        connection: CallerConnection,
        database: string,
        createLocal: () => CallerSession,
    ): CallerSession | undefined;
}
