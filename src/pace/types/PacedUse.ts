import type { OutgoingStatement } from "../../statements/types/OutgoingStatement.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";

/** The use of an endpoint by one statement or transaction, from its connection's acquisition to the release. */
export interface PacedUse {
    /** Whether the statement finds out if an endpoint that was set aside serves again. */
    readonly isProbe: boolean;
    /** Sends statements within a time limit in milliseconds, and records how they ended. */
    observe(
        statements: readonly OutgoingStatement[],
        timeoutMilliseconds: number,
        exchange: (timeoutMilliseconds: number) => Promise<readonly StatementAnswer[]>,
    ): Promise<readonly StatementAnswer[]>;
    /** Ends the use. */
    end(): void;
}
