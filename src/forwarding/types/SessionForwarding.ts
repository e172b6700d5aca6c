import type { CallerConnection } from "../../callerSessions/types/CallerConnection.js";
import type { CallerSession } from "../../callerSessions/types/CallerSession.js";
import type { SessionOpening } from "../../callerSessions/types/SessionOpening.js";

/** Forwards sessions of callers to the VMs that hold connections to their group's endpoints. */
export interface SessionForwarding {
    /**
     * Forwards a session that was just opened.
     *
     * Returns undefined when this VM serves the session. `createLocal` creates the session at this VM when the host
     * does not open it. The sessions of a workspace have one host in a region.
     */
    forward(
        connection: CallerConnection,
        opening: SessionOpening,
        createLocal: () => CallerSession,
    ): CallerSession | undefined;
}
