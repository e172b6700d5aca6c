import type { LogPosition } from "../../statements/types/LogPosition.js";
import type { SessionState } from "../../statements/types/SessionState.js";
import type { StatementFailure } from "../../statements/types/StatementFailure.js";
import type { CallerCommand } from "./CallerCommand.js";
import type { CallerFlow } from "./CallerFlow.js";

/** One connection of a caller. */
export interface CallerConnection {
    /** Control of what is read; undefined for a session that another VM forwards, which reads from the caller. */
    readonly flow?: CallerFlow;
    /** Receives the caller's commands in order, with their size in bytes; set once. */
    onCommand(listener: (command: CallerCommand, bytes: number) => void): void;
    /** Calls the listener once, when the connection is closed from either side. */
    onClose(listener: () => void): void;
    /** Notifies the caller that the session is open. */
    sendReady(state: SessionState, position: LogPosition | undefined): void;
    /** Sends the complete answer of a statement that succeeded. */
    sendSuccess(answer: CallerAnswer): void;
    /** Sends the complete answer of a statement that failed. */
    sendFailure(failure: StatementFailure, state: SessionState): void;
    /** Refuses to open the session and closes the connection. */
    refuse(failure: StatementFailure): void;
    /** Closes the connection once everything was sent. */
    close(): void;
}

/** Answer of a statement that succeeded. */
interface CallerAnswer {
    readonly rows: readonly string[];
    /** The endpoint's signature; undefined when no endpoint was needed. */
    readonly signature?: string;
    readonly state: SessionState;
    readonly position?: LogPosition;
}
