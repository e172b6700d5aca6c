import { ExitCode } from "../../commandLine/types/ExitCode.js";
import { formatStatus } from "../formatStatus/index.js";
import { queryFleetStatus } from "../queryFleetStatus/index.js";
import type { CommandContext } from "../types/CommandContext.js";

/**
 * Prints a summary of the fleet.
 *
 * @param context Gateway clients and output of the command.
 * @returns Success.
 *
 * @example
 * await showStatus(context);
 */
export async function showStatus(context: CommandContext): Promise<ExitCode> {
    const lines = formatStatus(await queryFleetStatus(context));
    context.control.write(`${lines.join("\n")}\n`);
    return ExitCode.Success;
}
