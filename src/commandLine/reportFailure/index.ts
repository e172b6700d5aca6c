import { isTypedError } from "../../errors/isTypedError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { ExitCode } from "../types/ExitCode.js";
import type { ProcessControl } from "../types/ProcessControl.js";

const usageKinds: ReadonlySet<ErrorKind> = new Set([
    ErrorKind.InvalidPatch,
    ErrorKind.InvalidRequest,
    ErrorKind.InvalidSettings,
]);

/**
 * Prints a failure with its remedy to standard error.
 *
 * @param error The caught value.
 * @param control Output of the process.
 * @returns The exit code: 2 for an invalid command line, settings file or patch, 1 for any other failure.
 *
 * @example
 * control.exit(reportFailure(error, control));
 */
export function reportFailure(error: unknown, control: ProcessControl): ExitCode {
    if (error instanceof Error && error.name === "CACError") {
        control.writeError(`${error.message}. See --help.\n`);
        return ExitCode.Usage;
    }
    const typed = toTypedError(error);
    control.writeError(`${typed.kind}: ${typed.message}\n`);
    if (isTypedError(typed, ErrorKind.Unexpected) && error instanceof Error) {
        control.writeError(`${error.stack ?? ""}\n`);
    }
    return usageKinds.has(typed.kind) ? ExitCode.Usage : ExitCode.Failure;
}
