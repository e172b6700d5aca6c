import type { CallerConnection } from "./CallerConnection.js";

/** All callers' sessions of one VM. */
export interface CallerSessions {
    /** Serves a new connection until it is closed. */
    serve(connection: CallerConnection): void;
    /** Serves a session that another VM forwards; it is not forwarded again. */
    serveForwarded(connection: CallerConnection): void;
    /** Number of open sessions. */
    count(): number;
    /** Closes the sessions as they become idle; resolves when all are closed or the grace time has passed. */
    closeAll(): Promise<void>;
    /** Describes the open sessions that a stop still waits for. */
    describeWork(): readonly string[];
}
