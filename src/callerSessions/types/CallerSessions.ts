import type { CallerConnection } from "./CallerConnection.js";

/** All callers' sessions of one VM. */
export interface CallerSessions {
    /** Serves a new connection until it is closed. */
    serve(connection: CallerConnection): void;
    /** Serves a session that another VM forwards; it is not forwarded again. */
    serveForwarded(connection: CallerConnection): void;
    /** Sessions that are open. */
    count(): number;
    /** Closes the sessions as they become idle; resolves when all are closed or the grace time has passed. */
    closeAll(): Promise<void>;
    /** Names what a stop still waits for. */
    describeWork(): readonly string[];
}
