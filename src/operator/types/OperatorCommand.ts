import type { ExitCode } from "../../commandLine/types/ExitCode.js";
import type { OperatorOptions } from "./OperatorOptions.js";
import type { OperatorSession } from "./OperatorSession.js";

/** A subcommand of the operator's command that calls gateways. */
export type OperatorCommand = (
    context: OperatorSession,
    commandArguments: readonly string[],
    options: OperatorOptions,
) => Promise<ExitCode>;
