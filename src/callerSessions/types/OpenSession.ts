import type { CallerConnection } from "./CallerConnection.js";
import type { CallerSession } from "./CallerSession.js";
import type { ReceivedCommand } from "./ReceivedCommand.js";
import type { RunCommand } from "./RunCommand.js";

/** An open session. */
export interface OpenSession {
    readonly connection: CallerConnection;
    readonly connectedAt: number;
    /** Number of commands that are queued or running. */
    unfinished: number;
    /** The statement that is running. */
    running: RunCommand | undefined;
    /** Whether a statement was answered. */
    hasAnswered: boolean;
    /** Whether the session was not admitted. */
    isRefused: boolean;
    /** Whether the stop has rolled back the session's transaction and reported it. */
    isAborted: boolean;
    /** Whether the end of the stop has answered all that the session had received. */
    isCutOff: boolean;
    /** The caller's session; undefined until it is opened. */
    callerSession: CallerSession | undefined;
    /** Removes the commands that are queued. */
    drain(): readonly ReceivedCommand[];
}
