import type { ExitCode } from "../../commandLine/types/ExitCode.js";
import type { OperatorOptions } from "./OperatorOptions.js";
import type { OperatorSession } from "./OperatorSession.js";

/** A command of the operator's program that asks gateways. */
export type OperatorCommand = (
    session: OperatorSession,
    words: readonly string[],
    options: OperatorOptions,
) => Promise<ExitCode>;
