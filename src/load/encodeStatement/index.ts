import { OperationKind } from "../../history/types/OperationKind.js";
import type { LoadStatement } from "../types/LoadStatement.js";

const encoders: Readonly<Record<OperationKind, (statement: LoadStatement) => unknown>> = {
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
 * Encodes a statement in the format of the endpoints.
 *
 * @param statement The statement.
 * @returns The statement in the format that endpoints accept.
 *
 * @example
 * encodeStatement({ kind: OperationKind.ReadList, lists: ["dealer/list-1"] });
 */
export function encodeStatement(statement: LoadStatement): unknown {
    return encoders[statement.kind](statement);
}
