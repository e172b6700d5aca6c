import type { ExitCode } from "../../commandLine/types/ExitCode.js";
import type { CommandContext } from "./CommandContext.js";
import type { OperatorOptions } from "./OperatorOptions.js";

/** A subcommand of the operator's command that calls gateways. */
export type OperatorCommand = (
    context: CommandContext,
    commandArguments: readonly string[],
    options: OperatorOptions,
) => Promise<ExitCode>;
