import type { z } from "zod";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";

/**
 * Checks a value from a peer against a schema.
 *
 * @param schema What the value must be.
 * @param value What arrived.
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
        { remedy: "Run versions of the product that speak the same protocol." },
    );
}
