import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { siteConstants } from "../constants.js";
import type { ExitWatch } from "../types/ExitWatch.js";
import type { SiteProcess } from "../types/SiteProcess.js";

/**
 * Creates a watch over the processes of a site.
 *
 * A process that exits with a non-zero code has failed; one that stops gracefully or is ended by a signal has not.
 *
 * @returns The watch, over no process yet.
 *
 * @example
 * const exits = createExitWatch();
 * exits.watch(gateway);
 * await exits.waitFor(waitForPrimaries(plan));
 */
export function createExitWatch(): ExitWatch {
    const unexpectedExits: string[] = [];
    let reportFailure: (error: Error) => void;
    const failure = new Promise<never>((_, reject) => {
        reportFailure = reject;
    });
    // A failure that nothing waits for is only listed.
    failure.catch(() => {});

    function recordExit({ name, output }: SiteProcess, outcome: string): void {
        if (!/^[1-9]/.test(outcome)) {
            return;
        }
        const description = `${name} exited with ${outcome}: ${
            output().slice(-siteConstants.reportedOutputCharacters)
        }`;
        unexpectedExits.push(description);
        reportFailure(createError(ErrorKind.Unexpected, description, {
            remedy: "Correct the error shown in its output.",
        }));
    }

    return {
        unexpectedExits,
        watch: started => void started.exited.then(outcome => recordExit(started, outcome)),
        waitFor: task => Promise.race([failure, task]),
    };
}
