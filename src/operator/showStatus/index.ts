import { ExitCode } from "../../commandLine/types/ExitCode.js";
import { formatStatus } from "../formatStatus/index.js";
import { surveyFleet } from "../surveyFleet/index.js";
import type { OperatorSession } from "../types/OperatorSession.js";

/**
 * Prints a summary of the fleet.
 *
 * @param context Gateway clients and output of the command.
 * @returns Success.
 *
 * @example
 * await showStatus(context);
 */
export async function showStatus(context: OperatorSession): Promise<ExitCode> {
    const lines = formatStatus(await surveyFleet(context));
    context.control.write(`${lines.join("\n")}\n`);
    return ExitCode.Success;
}
