import { getNodeValue, type ParseError, parseTree, printParseErrorCode } from "jsonc-parser";
import { readFileSync } from "node:fs";
import type { z } from "zod";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { TypedError } from "../../errors/types/TypedError.js";
import { describeSettingsProblem } from "../describeSettingsProblem/index.js";

/**
 * Reads a settings file in JSON with comments and validates it against a schema.
 *
 * One error lists all problems, each with its line and key.
 *
 * @param file Path of the file.
 * @param schema Schema of the settings.
 * @returns The settings, with the schema's defaults filled in.
 * @throws TarragonpostError of kind `InvalidSettings` when the file cannot be read or does not match the schema.
 *
 * @example
 * const settings = readSettings("gateway.jsonc", gatewaySettingsSchema);
 */
export function readSettings<Schema extends z.ZodType>(file: string, schema: Schema): z.output<Schema> {
    const text = readText(file);
    const parseErrors: ParseError[] = [];
    const root = parseTree(text, parseErrors, { allowTrailingComma: true });
    if (parseErrors.length > 0 || root === undefined) {
        throw createSettingsError(
            parseErrors.map(({ error, offset }) => {
                const line = text.slice(0, offset).split("\n").length;
                return `${file}:${line}: not JSON with comments: ${printParseErrorCode(error)}`;
            }),
            file,
        );
    }
    const outcome = schema.safeParse(getNodeValue(root));
    if (!outcome.success) {
        const problems = outcome.error.issues.map(issue => describeSettingsProblem(issue, { file, text, root }));
        throw createSettingsError(problems, file);
    }
    return outcome.data;
}

function readText(file: string): string {
    try {
        return readFileSync(file, "utf8");
    }
    catch (cause) {
        throw createError(ErrorKind.InvalidSettings, `Settings file ${file} cannot be read.`, {
            remedy: "Give the path of a readable file with --settings.",
            cause,
        });
    }
}

function createSettingsError(problems: readonly string[], file: string): TypedError {
    const list = problems.length === 0 ? `${file}:1: the file is empty` : problems.join("\n");
    return createError(ErrorKind.InvalidSettings, `The settings are invalid:\n${list}\n`, {
        remedy: `Correct these keys in ${file}, then check it with \`tarragonpost settings check\`.`,
        details: { file, problemCount: problems.length },
    });
}
