import { ExitCode } from "../../commandLine/types/ExitCode.js";
import { collectText } from "../collectText/index.js";
import { parseVersion } from "../parseVersion/index.js";
import type { OperatorSession } from "../types/OperatorSession.js";

/**
 * Prints the patch that turns one configuration version into another.
 *
 * @param session The session with the gateways.
 * @param words The two version numbers.
 * @returns Success.
 *
 * @example
 * await showDifference(session, ["7", "9"]);
 */
export async function showDifference(session: OperatorSession, words: readonly string[]): Promise<ExitCode> {
    const input = {
        from: parseVersion(words[0], "The first version"),
        to: parseVersion(words[1], "The second version"),
    };
    const text = await session.askAny(client =>
        collectText(observer => client.configuration.diff.subscribe(input, observer))
    );
    session.control.write(`${text}\n`);
    return ExitCode.Success;
}
