import { ExitCode } from "../../commandLine/types/ExitCode.js";
import { collectText } from "../collectText/index.js";
import { parseVersion } from "../parseVersion/index.js";
import type { CommandContext } from "../types/CommandContext.js";

/**
 * Prints the patch that turns one configuration version into another.
 *
 * @param context Gateway clients and output of the command.
 * @param commandArguments The two version numbers.
 * @returns Success.
 *
 * @example
 * await showDifference(context, ["7", "9"]);
 */
export async function showDifference(context: CommandContext, commandArguments: readonly string[]): Promise<ExitCode> {
    const input = {
        from: parseVersion(commandArguments[0], "The first version"),
        to: parseVersion(commandArguments[1], "The second version"),
    };
    const text = await context.callAnyGateway(client =>
        collectText(observer => client.configuration.diff.subscribe(input, observer))
    );
    context.control.write(`${text}\n`);
    return ExitCode.Success;
}
