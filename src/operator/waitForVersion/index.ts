import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { operatorConstants } from "../constants.js";
import { describeSurvey } from "../describeSurvey/index.js";
import { surveyFleet } from "../surveyFleet/index.js";
import type { OperatorSession } from "../types/OperatorSession.js";

/**
 * Waits until a configuration version is in force in every process, and prints each step forward.
 *
 * @param session The session with the gateways.
 * @param version The version to wait for.
 * @returns Resolves once it is in force everywhere.
 * @throws TarragonpostError of kind `DeadlineExceeded` that names who is missing.
 *
 * @example
 * await waitForVersion(session, 7);
 */
export async function waitForVersion(session: OperatorSession, version: number): Promise<void> {
    const { clock, control } = session;
    const deadline = clock.now() + operatorConstants.waitTimeoutMilliseconds;
    let lastLine = "";
    for (;;) {
        const { isEverywhere, line } = describeSurvey(await surveyFleet(session), version);
        if (line !== lastLine) {
            control.write(`${line}\n`);
            lastLine = line;
        }
        if (isEverywhere) {
            return;
        }
        if (clock.now() >= deadline) {
            throw createError(ErrorKind.DeadlineExceeded, `Version ${version} is not in force everywhere yet.`, {
                remedy: "Look at the missing processes with `tarragonpost status`; the version itself is accepted.",
                details: { version },
            });
        }
        await clock.sleep(operatorConstants.waitPollMilliseconds);
    }
}
