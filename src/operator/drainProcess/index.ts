import { ExitCode } from "../../commandLine/types/ExitCode.js";
import { createError } from "../../errors/createError/index.js";
import { isTypedError } from "../../errors/isTypedError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { surveyFleet } from "../surveyFleet/index.js";
import type { OperatorSession } from "../types/OperatorSession.js";

/**
 * Asks a gateway or an entry to stop gracefully, as SIGTERM does.
 *
 * @param session The session with the gateways.
 * @param words The name of the process.
 * @returns Success once a gateway has passed the request on.
 * @throws TarragonpostError of kind `NotFound` when no gateway knows the process.
 *
 * @example
 * await drainProcess(session, ["vm-1-entry"]);
 */
export async function drainProcess(session: OperatorSession, words: readonly string[]): Promise<ExitCode> {
    const process = words[0] ?? "";
    const { gateways } = await surveyFleet(session);
    const named = gateways.filter(gateway => gateway.name === process);
    for (const gateway of named.length > 0 ? named : gateways) {
        try {
            await session.clientOf(gateway).status.drain.mutate({ process });
            session.control.write(`${process} was asked to stop gracefully.\n`);
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
