import { z } from "zod";
import { EndpointRefusal } from "../../../endpoints/types/EndpointRefusal.js";
import { createRefusal } from "../createRefusal/index.js";

const beginSchema = z.object({
    isWrite: z.boolean(),
    term: z.number().int(),
    leastPosition: z.number().min(0),
    waitMilliseconds: z.number().min(0),
    timeoutMilliseconds: z.number(),
});
const schemas = {
    begin: beginSchema,
    execute: beginSchema.extend({ statement: z.unknown(), requestKey: z.string().min(1).optional() }),
    commit: z.object({ requestKey: z.string().min(1).optional() }),
    term: z.object({ term: z.number().int() }),
    follow: z.object({ term: z.number().int(), primary: z.string() }),
    cancelRequestKey: z.object({ requestKey: z.string().min(1), term: z.number().int() }),
    stopWatching: z.object({ id: z.number() }),
} as const;

/**
 * Validates the content of a received call.
 *
 * @param kind The kind of content that is expected.
 * @param content The content as received.
 * @returns The validated content.
 * @throws TarragonpostError of kind `EndpointRefused` with `StatementInvalid`.
 *
 * @example
 * const { term } = parseCallContent("term", content);
 */
export function parseCallContent<Kind extends keyof typeof schemas>(
    kind: Kind,
    content: unknown,
): z.infer<(typeof schemas)[Kind]> {
    const parsed = schemas[kind].safeParse(content);
    if (!parsed.success) {
        const [issue] = parsed.error.issues;
        throw createRefusal(
            EndpointRefusal.StatementInvalid,
            `The call is invalid at "${issue?.path.join(".")}": ${issue?.message}.`,
        );
    }
    return parsed.data as z.infer<(typeof schemas)[Kind]>;
}
