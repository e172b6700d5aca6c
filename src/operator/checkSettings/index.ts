import { ExitCode } from "../../commandLine/types/ExitCode.js";
import type { ProcessControl } from "../../commandLine/types/ProcessControl.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { readVmSettings } from "../../platform/readVmSettings/index.js";
import { entrySettingsSchema } from "../../settings/entrySettingsSchema/index.js";
import { gatewaySettingsSchema } from "../../settings/gatewaySettingsSchema/index.js";
import { readSettings } from "../../settings/readSettings/index.js";
import { operatorSettingsSchema } from "../operatorSettingsSchema/index.js";

/** Reads a settings file; throws when it is not valid. */
type SettingsReader = (file: string) => unknown;

const readers: ReadonlyMap<string, SettingsReader> = new Map<string, SettingsReader>([
    ["tarragonpost", file => readSettings(file, operatorSettingsSchema)],
    ["tarragonpost-entry", file => readSettings(file, entrySettingsSchema)],
    ["tarragonpost-gateway", file => readSettings(file, gatewaySettingsSchema)],
    ["tarragonpost-node", readVmSettings],
]);

/**
 * Checks a settings file without starting anything.
 *
 * @param file The settings file.
 * @param binary Name of the program that reads the file, with or without the prefix `tarragonpost-`.
 * @param control Output of the process.
 * @returns Success.
 * @throws TarragonpostError of kind `InvalidSettings` that lists all problems.
 *
 * @example
 * checkSettings("gateway.jsonc", "gateway", control);
 */
export function checkSettings(file: string | undefined, binary: string | undefined, control: ProcessControl): ExitCode {
    const read = readers.get(String(binary)) ?? readers.get(`tarragonpost-${String(binary)}`);
    if (file === undefined || read === undefined) {
        throw createError(ErrorKind.InvalidRequest, "A settings file and the name of a known program are required.", {
            remedy: `Run \`tarragonpost settings check FILE --binary NAME\`, where NAME is one of ${
                [...readers.keys()].join(", ")
            }.`,
        });
    }
    read(file);
    control.write(`${file} is valid.\n`);
    return ExitCode.Success;
}
