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
    /** Asks this gateway alone. */
    readonly gateway?: Address;
}

/**
 * Runs one command of the operator's program to its end.
 *
 * @param words The words of the command line.
 * @param options The site's folder, and the gateway to ask.
 * @returns What it printed.
 * @throws TarragonpostError of kind `Unexpected` when it failed, with its output in the message.
 *
 * @example
 * await runOperator(["config", "get"], { folder: site.folder });
 */
export async function runOperator(words: readonly string[], options: RunOperatorOptions): Promise<string> {
    const { folder, gateway } = options;
    const gatewayWords = gateway === undefined ? [] : ["--gateway", `${gateway.host}:${gateway.port}`];
    const settingsWords = ["--settings", join(folder, siteConstants.operatorSettingsFile)];
    const operator = startProcess("operator", SiteBinary.Operator, {
        words: [...words, ...settingsWords, ...gatewayWords],
    });
    const timer = setTimeout(() => operator.signal("SIGKILL"), siteConstants.operatorTimeoutMilliseconds);
    const outcome = await operator.exited;
    clearTimeout(timer);
    if (outcome !== "0") {
        const description = `The operator's command "${words.join(" ")}" ended with ${outcome}: ${operator.output()}`;
        throw createError(ErrorKind.Unexpected, description, { remedy: "Act on the message of the command." });
    }
    return operator.output();
}
