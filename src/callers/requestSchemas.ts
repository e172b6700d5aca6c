import { z } from "zod";
import { RequestKind } from "../messages/types/RequestKind.js";
import { TransactionEndKind } from "../messages/types/TransactionEndKind.js";

const deadlineMilliseconds = z.int().min(1).max(600_000).optional();
const requestKey = z.string().min(1).max(200);
const sessionToken = z.string().max(4_096).optional();
const transactionHandle = z.string().max(8_192);
const kind = z.enum(RequestKind);
const statement = z.unknown().refine(value => value !== undefined, "expected a statement");

/** Schemas of callers' request bodies. */
export const requestSchemas = {
    statement: z.strictObject({
        kind,
        statement,
        sessionToken,
        isNewSession: z.boolean().optional(),
        requestKey: requestKey.optional(),
        maximumAgeMilliseconds: z.int().min(0).max(86_400_000).optional(),
        deadlineMilliseconds,
    }),
    begin: z.strictObject({
        sessionToken,
        isNewSession: z.boolean().optional(),
        requestKey: requestKey.optional(),
        deadlineMilliseconds,
    }),
    step: z.strictObject({ transactionHandle, kind, statement, deadlineMilliseconds }),
    end: z.strictObject({ transactionHandle, kind: z.enum(TransactionEndKind), deadlineMilliseconds }),
    lookup: z.strictObject({ requestKey, sessionToken, deadlineMilliseconds }),
} as const;
