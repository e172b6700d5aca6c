import { ExitCode } from "../../commandLine/types/ExitCode.js";
import { describeVersionProgress } from "../describeVersionProgress/index.js";
import { queryFleetStatus } from "../queryFleetStatus/index.js";
import type { CommandContext } from "../types/CommandContext.js";

/**
 * Prints the highest configuration version in force in any process, the number of processes where it is in force, and
 * the missing ones.
 *
 * @param context Gateway clients and output of the command.
 * @returns Success when the version is in force everywhere, failure otherwise.
 *
 * @example
 * await showConfigurationStatus(context);
 */
export async function showConfigurationStatus(context: CommandContext): Promise<ExitCode> {
    const status = await queryFleetStatus(context);
    const version = Math.max(0, ...status.reports.map(report => report.version));
    const { isEverywhere, line } = describeVersionProgress(status, version);
    context.control.write(`${line}\n`);
    return isEverywhere ? ExitCode.Success : ExitCode.Failure;
}
