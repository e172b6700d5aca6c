import type { ZodType } from "zod";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";

/**
 * Creates a parser of a procedure's input that fails with a typed error.
 *
 * @param schema The schema of the input.
 * @returns A function that returns the checked input.
 * @throws TarragonpostError of kind `InvalidRequest`, from the returned function, for input that does not match.
 *
 * @example
 * trpc.procedure.input(parseInput(requestSchema)).mutation(({ input }) => execute(input));
 */
export function parseInput<T>(schema: ZodType<T>): (input: unknown) => T {
    return input => {
        const parsed = schema.safeParse(input);
        if (parsed.success) {
            return parsed.data;
        }
        const [issue] = parsed.error.issues;
        throw createError(
            ErrorKind.InvalidRequest,
            `The input is invalid at ${issue?.path.join(".") || "its root"}: ${issue?.message}.`,
            { remedy: "Run versions of the product that speak the same protocol." },
        );
    };
}
