import type { Statement } from "../types/Statement.js";
import { StatementOperation } from "../types/StatementOperation.js";

const readOperations: ReadonlySet<StatementOperation> = new Set([StatementOperation.Get, StatementOperation.ReadList]);

/**
 * Checks whether a statement may change data.
 *
 * @param statement The statement.
 * @returns True when it, or a statement within its batch, changes data.
 *
 * @example
 * isWriteStatement({ operation: StatementOperation.Get, register: "stock" }); // false
 */
export function isWriteStatement(statement: Statement): boolean {
    if (statement.operation === StatementOperation.Batch) {
        return statement.statements.some(isWriteStatement);
    }
    return !readOperations.has(statement.operation);
}
