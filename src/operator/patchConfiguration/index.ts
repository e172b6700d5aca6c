import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { ExitCode } from "../../commandLine/types/ExitCode.js";
import { createError } from "../../errors/createError/index.js";
import { isTypedError } from "../../errors/isTypedError/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { operatorConstants } from "../constants.js";
import { parseVersion } from "../parseVersion/index.js";
import type { CommandContext } from "../types/CommandContext.js";
import type { OperatorOptions } from "../types/OperatorOptions.js";
import { waitForVersion } from "../waitForVersion/index.js";

/**
 * Submits a patch file against a configuration version; with `wait`, waits until the new version is in force everywhere.
 *
 * When a gateway fails during the call, the patch is sent to the next one: the patch id makes the submission idempotent.
 *
 * @param context Gateway clients and output of the command.
 * @param commandArguments The path of the patch file.
 * @param options `against`, and optionally `id` and `wait`.
 * @returns Success.
 * @throws TarragonpostError of the kinds of `submitPatch`.
 *
 * @example
 * await patchConfiguration(context, ["patch.json"], { against: 7, wait: true });
 */
export async function patchConfiguration(
    context: CommandContext,
    commandArguments: readonly string[],
    options: OperatorOptions,
): Promise<ExitCode> {
    const against = parseVersion(options.against, "--against");
    const patchText = readPatch(commandArguments[0]);
    const patchId = options.id ?? randomUUID();
    const answer = await context.callAnyGateway(async client => {
        const signal = AbortSignal.timeout(operatorConstants.patchTimeoutMilliseconds);
        try {
            return await client.configuration.patch.mutate({ against, patchText, patchId }, { signal });
        }
        catch (error) {
            const typed = toTypedError(error);
            if (isTypedError(typed, ErrorKind.DeadlineExceeded)) {
                throw createError(
                    ErrorKind.OutcomeUnknown,
                    "The gateway did not answer in time; the patch may have been accepted.",
                    {
                        remedy: `Submit the same patch again with --against ${against} --id ${patchId}.`,
                        cause: error,
                    },
                );
            }
            throw typed;
        }
    });
    const remark = answer.isRepeated ? " It had been accepted before." : "";
    context.control.write(`The patch ${patchId} is version ${answer.version}.${remark}\n`);
    if (options.wait === true) {
        await waitForVersion(context, answer.version);
    }
    return ExitCode.Success;
}

function readPatch(file: string | undefined): string {
    if (file === undefined) {
        throw createError(ErrorKind.InvalidRequest, "No patch file is given.", {
            remedy: "Run `tarragonpost config patch --against NUMBER FILE`.",
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
