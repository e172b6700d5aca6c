import { ExitCode } from "../../commandLine/types/ExitCode.js";
import type { CommandContext } from "../types/CommandContext.js";

/**
 * Prints the latest configuration versions, newest first: number, time, author, patch id and the keys in the patch.
 *
 * @param context Gateway clients and output of the command.
 * @returns Success.
 *
 * @example
 * await showHistory(context);
 */
export async function showHistory(context: CommandContext): Promise<ExitCode> {
    const summaries = await context.callAnyGateway(client => client.configuration.history.query({}));
    for (const { version, wallMilliseconds, author, patchId, keys } of summaries) {
        const time = new Date(wallMilliseconds).toISOString();
        context.control.write(`${version}  ${time}  ${author}  ${patchId}  ${keys.join(" ")}\n`);
    }
    return ExitCode.Success;
}
