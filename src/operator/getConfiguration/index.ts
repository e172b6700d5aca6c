import { ExitCode } from "../../commandLine/types/ExitCode.js";
import { collectText } from "../collectText/index.js";
import { parseVersion } from "../parseVersion/index.js";
import type { CommandContext } from "../types/CommandContext.js";
import type { OperatorOptions } from "../types/OperatorOptions.js";

/**
 * Prints a configuration version with its number: the one in force, or the requested one.
 *
 * @param context Gateway clients and output of the command.
 * @param _commandArguments Not used.
 * @param options `versionNumber` selects an older version.
 * @returns Success.
 *
 * @example
 * await getConfiguration(context, [], { versionNumber: 7 });
 */
export async function getConfiguration(
    context: CommandContext,
    _commandArguments: readonly string[],
    options: OperatorOptions,
): Promise<ExitCode> {
    const { versionNumber } = options;
    const input = versionNumber === undefined ? {} : { version: parseVersion(versionNumber, "--version-number") };
    const text = await context.callAnyGateway(client =>
        collectText(observer => client.configuration.get.subscribe(input, observer))
    );
    context.control.write(`${text}\n`);
    return ExitCode.Success;
}
