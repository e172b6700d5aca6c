import type { z } from "zod";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";

/**
 * Checks a value from a peer against a schema.
 *
 * @param schema Schema that the value must match.
 * @param value The received value.
 * @returns The value, as the schema's type.
 * @throws TarragonpostError of kind `InvalidRequest` when it does not match.
 *
 * @example
 * const digests = checkPeerValue(z.array(digestSchema), input);
 */
export function checkPeerValue<Schema extends z.ZodType>(schema: Schema, value: unknown): z.infer<Schema> {
    const checked = schema.safeParse(value);
    if (checked.success) {
        return checked.data;
    }
    const issue = checked.error.issues[0];
    throw createError(
        ErrorKind.InvalidRequest,
        `A peer sent a malformed value: ${issue?.message} at "${issue?.path.join(".")}".`,
        { remedy: "Run product versions that use the same protocol." },
    );
}
