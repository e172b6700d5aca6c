import { reportFailure } from "../reportFailure/index.js";
import type { ExitCode } from "../types/ExitCode.js";
import type { ProcessControl } from "../types/ProcessControl.js";

/**
 * Runs a command and exits with its exit code; an error is printed and mapped to the exit code of its kind.
 *
 * @param control The process.
 * @param run Runs the command.
 *
 * @example
 * await exitWithOutcome(control, () => runCommand(control));
 */
export async function exitWithOutcome(control: ProcessControl, run: () => Promise<ExitCode>): Promise<void> {
    try {
        control.exit(await run());
    }
    catch (error) {
        control.exit(reportFailure(error, control));
    }
}
