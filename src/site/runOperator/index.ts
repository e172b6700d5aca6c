import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { siteConstants } from "../constants.js";
import { startProcess } from "../startProcess/index.js";
import { SiteBinary } from "../types/SiteBinary.js";

/**
 * Runs one command of the operator's program to its end.
 *
 * @param words The words of the command line.
 * @returns What it printed.
 * @throws TarragonpostError of kind `Unexpected` when it failed, with its output in the message.
 *
 * @example
 * await runOperator(["config", "get", "--gateway", "127.0.0.1:7000"]);
 */
export async function runOperator(words: readonly string[]): Promise<string> {
    const operator = startProcess("operator", SiteBinary.Operator, { words });
    const timer = setTimeout(() => operator.signal("SIGKILL"), siteConstants.operatorTimeoutMilliseconds);
    const outcome = await operator.exited;
    clearTimeout(timer);
    if (outcome !== "0") {
        const description = `The operator's command "${words.join(" ")}" ended with ${outcome}: ${operator.output()}`;
        throw createError(ErrorKind.Unexpected, description, { remedy: "Act on the message of the command." });
    }
    return operator.output();
}
