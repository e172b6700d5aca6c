import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { operatorConstants } from "../constants.js";
import { describeVersionProgress } from "../describeVersionProgress/index.js";
import { queryFleetStatus } from "../queryFleetStatus/index.js";
import type { CommandContext } from "../types/CommandContext.js";

/**
 * Waits until a configuration version is in force in every process, and prints each change of progress.
 *
 * @param context Gateway clients and output of the command.
 * @param version The version to wait for.
 * @returns Resolves once the version is in force everywhere.
 * @throws TarragonpostError of kind `DeadlineExceeded` when it is not in force everywhere in time.
 *
 * @example
 * await waitForVersion(context, 7);
 */
export async function waitForVersion(context: CommandContext, version: number): Promise<void> {
    const { clock, control } = context;
    const deadline = clock.now() + operatorConstants.waitTimeoutMilliseconds;
    let lastLine = "";
    for (;;) {
        const { isEverywhere, line } = describeVersionProgress(await queryFleetStatus(context), version);
        if (line !== lastLine) {
            control.write(`${line}\n`);
            lastLine = line;
        }
        if (isEverywhere) {
            return;
        }
        if (clock.now() >= deadline) {
            throw createError(ErrorKind.DeadlineExceeded, `Version ${version} is not in force everywhere yet.`, {
                remedy: "The version was accepted; check the missing processes with `tarragonpost status`.",
                details: { version },
            });
        }
        await clock.sleep(operatorConstants.pollingMilliseconds);
    }
}
