import { join } from "node:path";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { Address } from "../../network/types/Address.js";
import { siteConstants } from "../constants.js";
import { startProcess } from "../startProcess/index.js";
import { SiteBinary } from "../types/SiteBinary.js";

/** Options of `runOperator`. */
interface RunOperatorOptions {
    /** Folder of the site, with the operator's settings. */
    readonly folder: string;
    /** The only gateway to use; any configured one if omitted. */
    readonly gateway?: Address;
}

/**
 * Runs one command of the operator program and waits until it exits.
 *
 * @param command The command with its arguments.
 * @param options The site's folder, and the gateway to use.
 * @returns The output of the command.
 * @throws TarragonpostError of kind `Unexpected` when the command fails, with its output in the message.
 *
 * @example
 * await runOperator(["config", "get"], { folder: site.folder });
 */
export async function runOperator(command: readonly string[], options: RunOperatorOptions): Promise<string> {
    const { folder, gateway } = options;
    const gatewayArguments = gateway === undefined ? [] : ["--gateway", `${gateway.host}:${gateway.port}`];
    const settingsArguments = ["--settings", join(folder, siteConstants.operatorSettingsFile)];
    const operator = startProcess("operator", SiteBinary.Operator, {
        commandLineArguments: [...command, ...settingsArguments, ...gatewayArguments],
    });
    const timer = setTimeout(() => operator.signal("SIGKILL"), siteConstants.operatorTimeoutMilliseconds);
    const outcome = await operator.exited;
    clearTimeout(timer);
    if (outcome !== "0") {
        const description = `The operator command "${command.join(" ")}" exited with ${outcome}: ${operator.output()}`;
        throw createError(ErrorKind.Unexpected, description, {
            remedy: "Correct the error shown in the output of the command.",
        });
    }
    return operator.output();
}
