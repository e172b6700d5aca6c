import { ExitCode } from "../../commandLine/types/ExitCode.js";
import { collectText } from "../collectText/index.js";
import { parseVersion } from "../parseVersion/index.js";
import type { OperatorOptions } from "../types/OperatorOptions.js";
import type { OperatorSession } from "../types/OperatorSession.js";

/**
 * Prints a configuration version with its number: the one in force, or the one asked for.
 *
 * @param session The session with the gateways.
 * @param _words Not used.
 * @param options `versionNumber` selects an older version.
 * @returns Success.
 *
 * @example
 * await getConfiguration(session, [], { versionNumber: 7 });
 */
export async function getConfiguration(
    session: OperatorSession,
    _words: readonly string[],
    options: OperatorOptions,
): Promise<ExitCode> {
    const { versionNumber } = options;
    const input = versionNumber === undefined ? {} : { version: parseVersion(versionNumber, "--version-number") };
    const text = await session.askAny(client =>
        collectText(observer => client.configuration.get.subscribe(input, observer))
    );
    session.control.write(`${text}\n`);
    return ExitCode.Success;
}
