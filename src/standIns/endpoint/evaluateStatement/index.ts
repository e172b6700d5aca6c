import { EndpointRefusal } from "../../../endpoints/types/EndpointRefusal.js";
import { createRefusal } from "../createRefusal/index.js";
import type { DataOverlay } from "../types/DataOverlay.js";
import type { Statement } from "../types/Statement.js";
import { StatementOperation } from "../types/StatementOperation.js";

type Handlers = {
    [Operation in StatementOperation]: (
        statement: Extract<Statement, { readonly operation: Operation; }>,
        overlay: DataOverlay,
    ) => unknown;
};

const handlers: Handlers = {
    [StatementOperation.Get]: (statement, overlay) => ({ value: overlay.readRegister(statement.register) }),
    [StatementOperation.Set]: (statement, overlay) => {
        overlay.writeRegister(statement.register, statement.value);
        return {};
    },
    [StatementOperation.Add]: (statement, overlay) => {
        const current = overlay.readRegister(statement.register) ?? 0;
        if (typeof current !== "number") {
            throw createRefusal(
                EndpointRefusal.StatementInvalid,
                `Register ${statement.register} does not hold a number.`,
            );
        }
        const value = current + statement.amount;
        overlay.writeRegister(statement.register, value);
        return { value };
    },
    [StatementOperation.Append]: (statement, overlay) => {
        overlay.appendToList(statement.list, statement.value);
        return { length: overlay.readList(statement.list).length };
    },
    [StatementOperation.ReadList]: (statement, overlay) => ({ values: overlay.readList(statement.list) }),
    [StatementOperation.Batch]: (statement, overlay) => ({
        results: statement.statements.map(inner => evaluateStatement(inner, overlay)),
    }),
};

/**
 * Evaluates a statement and writes its changes to the overlay.
 *
 * @param statement The validated statement.
 * @param overlay Reads the data and collects the changes.
 * @returns The statement's result.
 * @throws TarragonpostError of kind `EndpointRefused` with `StatementInvalid`.
 *
 * @example
 * evaluateStatement({ operation: StatementOperation.Get, register: "stock" }, overlay); // { value: 3 }
 */
export function evaluateStatement(statement: Statement, overlay: DataOverlay): unknown {
    const handle = handlers[statement.operation] as (statement: Statement, overlay: DataOverlay) => unknown;
    return handle(statement, overlay);
}
