import type { z } from "zod";
import { ExitCode } from "../../commandLine/types/ExitCode.js";
import type { ProcessControl } from "../../commandLine/types/ProcessControl.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { entrySettingsSchema } from "../../settings/entrySettingsSchema/index.js";
import { gatewaySettingsSchema } from "../../settings/gatewaySettingsSchema/index.js";
import { readSettings } from "../../settings/readSettings/index.js";
import { operatorSettingsSchema } from "../operatorSettingsSchema/index.js";

const schemaByBinary: ReadonlyMap<string, z.ZodType> = new Map<string, z.ZodType>([
    ["tarragonpost", operatorSettingsSchema],
    ["tarragonpost-entry", entrySettingsSchema],
    ["tarragonpost-gateway", gatewaySettingsSchema],
]);

/**
 * Checks a settings file without starting anything.
 *
 * @param file The settings file.
 * @param binary Name of the program that is to read it, with or without its prefix.
 * @param control The process to print on.
 * @returns Success.
 * @throws TarragonpostError of kind `InvalidSettings` that lists all problems.
 *
 * @example
 * checkSettings("gateway.jsonc", "gateway", control);
 */
export function checkSettings(file: string | undefined, binary: string | undefined, control: ProcessControl): ExitCode {
    const schema = schemaByBinary.get(String(binary)) ?? schemaByBinary.get(`tarragonpost-${String(binary)}`);
    if (file === undefined || schema === undefined) {
        throw createError(ErrorKind.InvalidRequest, "A settings file and a known program are needed.", {
            remedy: `Write \`tarragonpost settings check FILE --binary NAME\`, NAME one of ${
                [...schemaByBinary.keys()].join(", ")
            }.`,
        });
    }
    readSettings(file, schema);
    control.write(`${file} is valid.\n`);
    return ExitCode.Success;
}
