import type { CallerConnection } from "./CallerConnection.js";

/** All callers' sessions of one VM. */
export interface CallerSessions {
    /** Serves a new connection until it is closed. */
    serve(connection: CallerConnection): void;
    /** Serves a session that another VM forwards; it is not forwarded again. */
    serveForwarded(connection: CallerConnection): void;
    /** Number of open sessions. */
    count(): number;
    /**
     * Closes the sessions as they become idle. Resolves when all that were opened are closed and `otherWork` is done, or
     * the grace time has passed; no session is opened afterwards.
     */
    closeAll(otherWork: Promise<void>): Promise<void>;
    /** Describes the open sessions that a stop still waits for. */
    describeWork(): readonly string[];
}
