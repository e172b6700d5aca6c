import { cac } from "cac";
import { writeFile } from "node:fs/promises";
import { exitWithOutcome } from "../../commandLine/exitWithOutcome/index.js";
import { readProductVersion } from "../../commandLine/readProductVersion/index.js";
import { ExitCode } from "../../commandLine/types/ExitCode.js";
import type { ProcessControl } from "../../commandLine/types/ProcessControl.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { createReport } from "../../report/createReport/index.js";
import { readSettings } from "../../settings/readSettings/index.js";
import { formatLoadSummary } from "../formatLoadSummary/index.js";
import { loadTargetSchema } from "../loadTargetSchema/index.js";
import { offerLoad } from "../offerLoad/index.js";
import { readPlan } from "../readPlan/index.js";

/**
 * Runs the program `tarragonpost-load`: offers load, prints the figures and checks the history.
 *
 * It exits with 0 when every guarantee was kept, with 1 when one was violated or the run failed, and with 2 when the
 * command line is invalid. The first stop signal ends the load early; the history is still checked.
 *
 * @param control The process.
 *
 * @example
 * await runLoadCommand(createProcessControl());
 */
export async function runLoadCommand(control: ProcessControl): Promise<void> {
    await exitWithOutcome(control, () => runCommand(control));
}

async function runCommand(control: ProcessControl): Promise<ExitCode> {
    const options = parseOptions(control);
    if (options["help"] === true || options["version"] === true) {
        return ExitCode.Success;
    }
    if (typeof options["target"] !== "string") {
        throw createError(ErrorKind.InvalidSettings, "Option --target is missing.", {
            remedy: "Name entries, callers and databases in a file and pass it with --target FILE.",
        });
    }
    const closeController = new AbortController();
    control.onStopSignal(() => closeController.abort());
    const target = readSettings(options["target"], loadTargetSchema);
    const plan = readPlan(options);
    const outcome = await offerLoad(target, plan, { signal: closeController.signal });
    const { summary, verdict } = outcome;
    control.write(formatLoadSummary(summary, verdict));
    if (typeof options["json"] === "string") {
        await writeFile(options["json"], JSON.stringify({ plan, summary, verdict }, undefined, 4));
    }
    if (typeof options["report"] === "string") {
        await writeFile(options["report"], createReport(outcome));
    }
    return verdict.isSound ? ExitCode.Success : ExitCode.Failure;
}

function parseOptions(control: ProcessControl): Readonly<Record<string, unknown>> {
    const commandLine = cac("tarragonpost-load");
    const command = commandLine.command(
        "",
        "Offers load to entries, measures the answers and checks the history against the guarantees.",
    )
        .usage("--target FILE [options]")
        .option("--target <file>", "Entries, callers and databases, in JSON with comments")
        .option("--seconds <number>", "Duration of the load")
        .option("--sessions <number>", "Number of concurrent sessions")
        .option("--seed <number>", "Seed of all randomness")
        .option("--write-share <share>", "Share of operations that write")
        .option("--transaction-share <share>", "Share of operations over pairs of lists")
        .option("--keyless-share <share>", "Share of writes without a request key")
        .option("--aged-share <share>", "Share of bounded-staleness reads")
        .option("--age <milliseconds>", "Maximum age of the data that bounded-staleness reads accept")
        .option("--lost-token-share <share>", "Share of reads without the session's token")
        .option("--roam-share <share>", "Share of operations before which a session moves to another entry")
        .option("--lists <number>", "Number of lists of each caller in each database")
        .option("--deadline <milliseconds>", "Deadline of each request")
        .option("--pause <milliseconds>", "Mean pause of a session between operations")
        .option("--json <file>", "Write the figures and the verdict as JSON")
        .option("--report <file>", "Write a self-contained HTML page with charts over time")
        .action(() => {});
    commandLine.help();
    commandLine.version(readProductVersion());
    const parsed = commandLine.parse(["node", "tarragonpost-load", ...control.commandLineArguments], { run: false });
    if (parsed.options["help"] !== true && parsed.options["version"] !== true) {
        command.checkUnknownOptions();
    }
    return parsed.options;
}
