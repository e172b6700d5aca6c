import { ExitCode } from "../../commandLine/types/ExitCode.js";
import { createError } from "../../errors/createError/index.js";
import { isTypedError } from "../../errors/isTypedError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { queryFleetStatus } from "../queryFleetStatus/index.js";
import type { CommandContext } from "../types/CommandContext.js";

/**
 * Requests a graceful stop of a gateway or an entry, with the same effect as SIGTERM.
 *
 * @param context Gateway clients and output of the command.
 * @param commandArguments The name of the process.
 * @returns Success once a gateway has accepted the request.
 * @throws TarragonpostError of kind `NotFound` when no gateway knows the process.
 *
 * @example
 * await drainProcess(context, ["vm-1-entry"]);
 */
export async function drainProcess(context: CommandContext, commandArguments: readonly string[]): Promise<ExitCode> {
    const process = commandArguments[0] ?? "";
    const { gateways } = await queryFleetStatus(context);
    const matching = gateways.filter(gateway => gateway.name === process);
    for (const gateway of matching.length > 0 ? matching : gateways) {
        try {
            await context.clientOf(gateway).status.drain.mutate({ process });
            context.control.write(`${process} was asked to stop gracefully.\n`);
            return ExitCode.Success;
        }
        catch (error) {
            const typed = toTypedError(error);
            if (!isTypedError(typed, ErrorKind.NotFound) && !isTypedError(typed, ErrorKind.Unreachable)) {
                throw typed;
            }
        }
    }
    throw createError(ErrorKind.NotFound, `No gateway that answers knows process ${process}.`, {
        remedy: "Take the name from `tarragonpost status`.",
    });
}
