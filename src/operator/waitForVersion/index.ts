import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { operatorConstants } from "../constants.js";
import { describeSurvey } from "../describeSurvey/index.js";
import { surveyFleet } from "../surveyFleet/index.js";
import type { OperatorSession } from "../types/OperatorSession.js";

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
export async function waitForVersion(context: OperatorSession, version: number): Promise<void> {
    const { clock, control } = context;
    const deadline = clock.now() + operatorConstants.waitTimeoutMilliseconds;
    let lastLine = "";
    for (;;) {
        const { isEverywhere, line } = describeSurvey(await surveyFleet(context), version);
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
        await clock.sleep(operatorConstants.waitPollMilliseconds);
    }
}
