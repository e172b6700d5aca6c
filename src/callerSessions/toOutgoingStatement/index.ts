import type { LogPosition } from "../../statements/types/LogPosition.js";
import { OutgoingKind } from "../../statements/types/OutgoingKind.js";
import type { OutgoingStatement } from "../../statements/types/OutgoingStatement.js";
import { StatementKind } from "../../statements/types/StatementKind.js";
import type { CallerStatement } from "../types/CallerStatement.js";

/**
 * Converts a caller's statement to the statement that is sent to an endpoint.
 *
 * @param callerStatement The caller's statement.
 * @param endpointName Name of the executed prepared statement on the connection; undefined when none is executed.
 * @param leastPosition The log position that the endpoint has to hold.
 * @returns The statement to send.
 *
 * @example
 * toOutgoingStatement(callerStatement, undefined, { term: 3, entry: 1207 });
 */
export function toOutgoingStatement(
    { id, statement }: CallerStatement,
    endpointName: string | undefined,
    leastPosition: LogPosition | undefined,
): OutgoingStatement {
    if (statement.kind === StatementKind.Execute && endpointName !== undefined) {
        const { remainder } = statement;
        return { kind: OutgoingKind.ForwardedExecution, id, name: endpointName, remainder, leastPosition };
    }
    return { kind: OutgoingKind.Forwarded, id, text: statement.text, leastPosition };
}
