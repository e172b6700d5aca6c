import type { Statement } from "../../statements/types/Statement.js";

/** A statement of a caller with its id and time. */
export interface ReceivedStatement {
    readonly id: string;
    readonly statement: Statement;
    /** When it was received, on the process's clock in milliseconds. */
    readonly receivedAt: number;
}
