import { ExitCode } from "../../commandLine/types/ExitCode.js";
import { formatStatus } from "../formatStatus/index.js";
import { surveyFleet } from "../surveyFleet/index.js";
import type { OperatorSession } from "../types/OperatorSession.js";

/**
 * Prints the fleet at a glance.
 *
 * @param session The session with the gateways.
 * @returns Success.
 *
 * @example
 * await showStatus(session);
 */
export async function showStatus(session: OperatorSession): Promise<ExitCode> {
    const lines = formatStatus(await surveyFleet(session));
    session.control.write(`${lines.join("\n")}\n`);
    return ExitCode.Success;
}
