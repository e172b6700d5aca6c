import { OperationKind } from "../../history/types/OperationKind.js";
import type { LoadStatement } from "../types/LoadStatement.js";

const writers: Readonly<Record<OperationKind, (statement: LoadStatement) => unknown>> = {
    [OperationKind.Append]: ({ lists, value }) => ({ operation: "Append", list: lists[0], value }),
    [OperationKind.AppendPair]: ({ lists, value }) => ({
        operation: "Batch",
        statements: lists.map(list => ({ operation: "Append", list, value })),
    }),
    [OperationKind.ReadList]: ({ lists }) => ({ operation: "ReadList", list: lists[0] }),
    [OperationKind.ReadPair]: ({ lists }) => ({
        operation: "Batch",
        statements: lists.map(list => ({ operation: "ReadList", list })),
    }),
};

/**
 * Writes a statement in the endpoints' language.
 *
 * @param statement What the statement does.
 * @returns The statement as endpoints take it.
 *
 * @example
 * statementOf({ kind: OperationKind.ReadList, lists: ["dealer/list-1"] });
 */
export function statementOf(statement: LoadStatement): unknown {
    return writers[statement.kind](statement);
}
