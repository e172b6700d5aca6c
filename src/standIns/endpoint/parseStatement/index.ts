import { z } from "zod";
import { EndpointRefusal } from "../../../endpoints/types/EndpointRefusal.js";
import { createRefusal } from "../createRefusal/index.js";
import type { Statement } from "../types/Statement.js";
import { StatementOperation } from "../types/StatementOperation.js";

const name = z.string().min(1);
const workMilliseconds = z.number().min(0).optional();
const simpleStatements = [
    z.object({ operation: z.literal(StatementOperation.Get), register: name, workMilliseconds }),
    z.object({ operation: z.literal(StatementOperation.Set), register: name, value: z.unknown(), workMilliseconds }),
    z.object({ operation: z.literal(StatementOperation.Add), register: name, amount: z.number(), workMilliseconds }),
    z.object({ operation: z.literal(StatementOperation.Append), list: name, value: z.unknown(), workMilliseconds }),
    z.object({ operation: z.literal(StatementOperation.ReadList), list: name, workMilliseconds }),
] as const;
const schema = z.discriminatedUnion("operation", [
    ...simpleStatements,
    z.object({
        operation: z.literal(StatementOperation.Batch),
        statements: z.array(z.discriminatedUnion("operation", simpleStatements)).min(1),
        workMilliseconds,
    }),
]);

/**
 * Validates a received statement.
 *
 * @param value The statement as received.
 * @returns The validated statement.
 * @throws TarragonpostError of kind `EndpointRefused` with `StatementInvalid`.
 *
 * @example
 * const statement = parseStatement({ operation: "Get", register: "stock" });
 */
export function parseStatement(value: unknown): Statement {
    const parsed = schema.safeParse(value);
    if (!parsed.success) {
        const [issue] = parsed.error.issues;
        throw createRefusal(
            EndpointRefusal.StatementInvalid,
            `The statement is invalid at "${issue?.path.join(".")}": ${issue?.message}.`,
        );
    }
    return parsed.data;
}
