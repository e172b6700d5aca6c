import { parse, type ParseError, printParseErrorCode } from "jsonc-parser";
import { readFile } from "node:fs/promises";
import type { ZodType } from "zod";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";

/**
 * Reads a stand-in's settings from a file of JSON with comments.
 *
 * @param path Path of the file.
 * @param schema What the settings must look like.
 * @returns The settings.
 * @throws TarragonpostError of kind `InvalidSettings`.
 *
 * @example
 * const settings = await readStandInSettings("platform.jsonc", platformStandInSchema);
 */
export async function readStandInSettings<Settings>(path: string, schema: ZodType<Settings>): Promise<Settings> {
    const errors: ParseError[] = [];
    const content: unknown = parse(await readFile(path, "utf8"), errors, { allowTrailingComma: true });
    const [syntaxError] = errors;
    if (syntaxError !== undefined) {
        throw createError(
            ErrorKind.InvalidSettings,
            `Settings ${path}: ${printParseErrorCode(syntaxError.error)} at offset ${syntaxError.offset}.`,
            { remedy: "Correct the syntax." },
        );
    }
    const parsed = schema.safeParse(content);
    if (!parsed.success) {
        const [issue] = parsed.error.issues;
        throw createError(
            ErrorKind.InvalidSettings,
            `Settings ${path}: "${issue?.path.join(".")}": ${issue?.message}.`,
            { remedy: "Correct the setting." },
        );
    }
    return parsed.data;
}
