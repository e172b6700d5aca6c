import { z } from "zod";
import { fieldSchemas } from "../../messages/fieldSchemas/index.js";
import { RequestKind } from "../../messages/types/RequestKind.js";
import type { TransactionBegin } from "../../messages/types/TransactionBegin.js";
import type { TransactionEnd } from "../../messages/types/TransactionEnd.js";
import { TransactionEndKind } from "../../messages/types/TransactionEndKind.js";
import type { TransactionStatement } from "../../messages/types/TransactionStatement.js";
import { parseInput } from "../../requests/parseInput/index.js";
import { trpc } from "../../transport/trpc/index.js";
import type { Transactions } from "../types/Transactions.js";

const { name, requestKey, counter, milliseconds } = fieldSchemas;

const beginSchema: z.ZodType<TransactionBegin> = z.object({
    requestId: name,
    database: name,
    endpoint: name,
    term: counter,
    leastPosition: counter,
    waitMilliseconds: milliseconds,
    caller: name,
    requestKey: requestKey.optional(),
    timeLeftMilliseconds: milliseconds,
});

const statementSchema: z.ZodType<TransactionStatement> = z.object({
    transactionId: name,
    caller: name,
    kind: z.enum(RequestKind),
    statement: z.unknown(),
    timeLeftMilliseconds: milliseconds,
});

const endSchema: z.ZodType<TransactionEnd> = z.object({
    transactionId: name,
    caller: name,
    kind: z.enum(TransactionEndKind),
    timeLeftMilliseconds: milliseconds,
});

/**
 * Creates the router through which entries run interactive transactions at this gateway.
 *
 * @param transactions The service that runs the transactions.
 * @returns The router with `transactions.begin`, `transactions.execute` and `transactions.end`.
 *
 * @example
 * const reply = await peers.clientOf<TransactionsRouter>(address).transactions.begin.mutate(begin);
 */
export function createTransactionsRouter(transactions: Transactions) {
    return trpc.router({
        transactions: trpc.router({
            begin: trpc.procedure
                .input(parseInput(beginSchema))
                .mutation(({ input, signal }) => transactions.begin(input, signal)),
            execute: trpc.procedure
                .input(parseInput(statementSchema))
                .mutation(({ input }) => transactions.execute(input)),
            end: trpc.procedure
                .input(parseInput(endSchema))
                .mutation(({ input }) => transactions.end(input)),
        }),
    });
}
