import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { ExitCode } from "../../commandLine/types/ExitCode.js";
import { createError } from "../../errors/createError/index.js";
import { isTypedError } from "../../errors/isTypedError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { operatorConstants } from "../constants.js";
import { parseVersion } from "../parseVersion/index.js";
import type { OperatorOptions } from "../types/OperatorOptions.js";
import type { OperatorSession } from "../types/OperatorSession.js";
import { waitForVersion } from "../waitForVersion/index.js";

/**
 * Submits a patch file against a configuration version, and on request waits until it is in force everywhere.
 *
 * A gateway that dies midway is replaced by the next one: the patch id makes the repetition safe.
 *
 * @param session The session with the gateways.
 * @param words The patch file.
 * @param options `against`, and optionally `id` and `wait`.
 * @returns Success.
 * @throws TarragonpostError of the kinds of `submitPatch`.
 *
 * @example
 * await patchConfiguration(session, ["patch.json"], { against: 7, wait: true });
 */
export async function patchConfiguration(
    session: OperatorSession,
    words: readonly string[],
    options: OperatorOptions,
): Promise<ExitCode> {
    const against = parseVersion(options.against, "--against");
    const patchText = readPatch(words[0]);
    const patchId = options.id ?? randomUUID();
    const answer = await session.askAny(async client => {
        const signal = AbortSignal.timeout(operatorConstants.patchTimeoutMilliseconds);
        try {
            return await client.configuration.patch.mutate({ against, patchText, patchId }, { signal });
        }
        catch (error) {
            const typed = toTypedError(error);
            if (isTypedError(typed, ErrorKind.DeadlineExceeded)) {
                throw createError(ErrorKind.OutcomeUnknown, "The gateway gave no answer in time.", {
                    remedy: `Submit the same patch again with --against ${against} --id ${patchId}.`,
                    cause: error,
                });
            }
            throw typed;
        }
    });
    const note = answer.isRepeated ? " It had been accepted before." : "";
    session.control.write(`The patch ${patchId} is version ${answer.version}.${note}\n`);
    if (options.wait === true) {
        await waitForVersion(session, answer.version);
    }
    return ExitCode.Success;
}

function readPatch(file: string | undefined): string {
    if (file === undefined) {
        throw createError(ErrorKind.InvalidRequest, "No patch file is given.", {
            remedy: "Write `tarragonpost config patch --against NUMBER FILE`.",
        });
    }
    try {
        return readFileSync(file, "utf8");
    }
    catch (cause) {
        throw createError(ErrorKind.InvalidRequest, `Patch file ${file} cannot be read.`, {
            remedy: "Give the path of a readable file.",
            cause,
        });
    }
}
