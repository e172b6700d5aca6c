import { z } from "zod";
import { dutySchemas } from "../duty/dutySchemas.js";
import { AccessMode } from "../statements/types/AccessMode.js";
import { StatementKind } from "../statements/types/StatementKind.js";

const text = z.string();
const name = z.string();
const sessionKeys = z.array(z.string());
const statement = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal(StatementKind.Begin), text, isReadOnly: z.boolean() }),
    z.object({ kind: z.literal([StatementKind.Commit, StatementKind.Rollback]), text }),
    z.object({ kind: z.literal([StatementKind.Read, StatementKind.Write]), text }),
    z.object({ kind: z.literal(StatementKind.SetValue), text, name, value: z.string() }),
    z.object({ kind: z.literal(StatementKind.Prepare), text, name, mode: z.enum(AccessMode), shape: z.string() }),
    z.object({ kind: z.literal(StatementKind.Execute), text, name, remainder: z.string() }),
    z.object({ kind: z.literal(StatementKind.ClosePrepared), text, name }),
    z.object({ kind: z.literal(StatementKind.Unreadable), text }),
]);

/** Schemas of the messages with which VMs forward callers' sessions. */
export const forwardingSchemas = {
    sessionKeys,
    statement: z.object({
        sessionKey: z.string(),
        database: z.string().optional(),
        keyDigest: z.string().optional(),
        id: z.string(),
        statement,
        routingVersion: z.number(),
        routingTable: dutySchemas.routingTable.optional(),
        closedKeys: sessionKeys.optional(),
    }),
} as const;
