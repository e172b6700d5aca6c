import type { Route } from "../../directory/types/Route.js";
import type { AccessMode } from "../../statements/types/AccessMode.js";
import type { PreparedStatement } from "../../statements/types/PreparedStatement.js";
import type { Statement } from "../../statements/types/Statement.js";
import type { SessionContext } from "./SessionContext.js";

/** A read, write or commit of a caller, ready to be forwarded. */
export interface CallerStatement {
    readonly id: string;
    readonly statement: Statement;
    readonly mode: AccessMode;
    /** The prepared statement that is executed; left out for other statements. */
    readonly prepared?: PreparedStatement;
    readonly route: Route;
    readonly session: SessionContext;
    /** When the statement was received, on the process's clock in milliseconds. */
    readonly receivedAt: number;
    /** When the statement's time limit passes, on the same clock. */
    readonly expiresAt: number;
}
