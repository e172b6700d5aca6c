import { ExitCode } from "../../commandLine/types/ExitCode.js";
import type { OperatorSession } from "../types/OperatorSession.js";

/**
 * Prints the latest configuration versions, newest first: number, time, author, patch id and what the patch names.
 *
 * @param session The session with the gateways.
 * @returns Success.
 *
 * @example
 * await showHistory(session);
 */
export async function showHistory(session: OperatorSession): Promise<ExitCode> {
    const summaries = await session.askAny(client => client.configuration.history.query({}));
    for (const { version, wallMilliseconds, author, patchId, keys } of summaries) {
        const time = new Date(wallMilliseconds).toISOString();
        session.control.write(`${version}  ${time}  ${author}  ${patchId}  ${keys.join(" ")}\n`);
    }
    return ExitCode.Success;
}
