import { cac } from "cac";
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { exitWithOutcome } from "../../commandLine/exitWithOutcome/index.js";
import { ExitCode } from "../../commandLine/types/ExitCode.js";
import type { ProcessControl } from "../../commandLine/types/ProcessControl.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { soakConstants } from "../constants.js";
import { runSoak } from "../runSoak/index.js";
import { FaultKind } from "../types/FaultKind.js";
import type { SoakOptions } from "../types/SoakOptions.js";
import type { SoakResult } from "../types/SoakResult.js";
import { UnitOutcome } from "../types/UnitOutcome.js";

const maximumSeed = 2 ** 31;

/**
 * Runs the command `tarragonpost-soak`.
 *
 * It exits with 0 when every guarantee was kept, with 1 when one was violated or the run failed, and with 2 when the
 * command line is invalid. After a violation the seed, the faults and the last output of the programs are written to a
 * folder.
 *
 * @param control The process.
 *
 * @example
 * await runSoakCommand(createProcessControl());
 */
export async function runSoakCommand(control: ProcessControl): Promise<void> {
    await exitWithOutcome(control, () => runCommand(control));
}

async function runCommand(control: ProcessControl): Promise<ExitCode> {
    const options = parseOptions(control);
    if (options === undefined) {
        return ExitCode.Success;
    }
    const clock = createSystemClock();
    let isSound = true;
    for (let run = 0; run < options.runs; run += 1) {
        const soak = { ...options, seed: options.seed + run };
        const result = await runSoak(soak, clock);
        control.write(`${summarize(soak, result)}\n`);
        if (result.violations.length > 0) {
            isSound = false;
            writeResults(options.keep, soak, result);
        }
    }
    return isSound ? ExitCode.Success : ExitCode.Failure;
}

function summarize(
    { seed, isPlannedOnly, hasWorkspaces }: SoakOptions,
    { violations, faults, history, recoveredMilliseconds }: SoakResult,
): string {
    const { units, unansweredStatements, discardedEntries, faultSpans } = history;
    const stopCount = faultSpans.filter(({ kind }) => kind === FaultKind.VmStopped).length;
    const count = (outcome: UnitOutcome): number => units.filter(unit => unit.outcome === outcome).length;
    return [
        `seed ${seed}${isPlannedOnly ? ", planned work only" : ""}${hasWorkspaces ? ", with workspaces" : ""}: ${
            violations.length === 0 ? "all promises kept" : `${violations.length} broken`
        }`,
        `${faults.length} faults, among them ${stopCount} planned stops`,
        `${count(UnitOutcome.Acknowledged)} acknowledged, ${count(UnitOutcome.NotKept)} not kept`,
        `${count(UnitOutcome.Unknown)} unknown, ${discardedEntries.length} commits dropped by promotions`,
        `${unansweredStatements.length} connections ended before an answer`,
        `served again after ${recoveredMilliseconds ?? "too many"} ms`,
        ...violations.slice(0, soakConstants.maximumPrintedViolations).map(({ promise, detail }) =>
            `\n  ${promise}: ${detail}`
        ),
    ].join("; ");
}

function writeResults(
    folder: string,
    { seed, isPlannedOnly }: SoakOptions,
    { violations: broken, faults, history, outputs }: SoakResult,
): void {
    const target = join(folder, `seed-${seed}`);
    mkdirSync(target, { recursive: true });
    const { units, unansweredStatements, endpointFaults, lateSpans, faultSpans } = history;
    const results = {
        seed,
        isPlannedOnly,
        broken,
        faults,
        endpointFaults,
        lateSpans,
        faultSpans,
        unansweredStatements,
        units,
    };
    writeFileSync(join(target, "run.json"), JSON.stringify(results, undefined, 1));
    for (const [name, output] of Object.entries(outputs)) {
        writeFileSync(join(target, `${name}.log`), output);
    }
}

/** Options of the command line. */
interface CommandOptions extends SoakOptions {
    readonly runs: number;
    /** Folder for the results of a run that violates a guarantee. */
    readonly keep: string;
}

function parseOptions(control: ProcessControl): CommandOptions | undefined {
    const commandLine = cac("tarragonpost-soak");
    commandLine.command("", "Runs the real programs under faults and checks the guarantees towards callers.")
        .option("--seed <number>", "Seed of the faults; random if omitted")
        .option("--minutes <number>", "Minutes during which faults are injected", { default: 1 })
        .option("--runs <number>", "Number of runs, with consecutive seeds", { default: 1 })
        .option("--vms <number>", "Number of VMs", { default: soakConstants.vmCount })
        .option("--callers <number>", "Number of callers", { default: soakConstants.callerCount })
        .option("--planned", "Only planned work: stops and starts, reloads and configurations")
        .option("--workspaces", "Callers belong to workspaces and need their keys")
        .option("--keep <folder>", "Folder for the results of a run that violates a guarantee", {
            default: "soak-results",
        });
    commandLine.help();
    const { options } = commandLine.parse(["node", "tarragonpost-soak", ...control.commandLineArguments], {
        run: false,
    });
    if (options["help"] === true) {
        return undefined;
    }
    const seed = options["seed"] === undefined ? Math.floor(Math.random() * maximumSeed) : options["seed"];
    return {
        seed: readNumber("seed", seed),
        durationMilliseconds: readNumber("minutes", options["minutes"]) * soakConstants.millisecondsPerMinute,
        runs: readNumber("runs", options["runs"]),
        vmCount: readNumber("vms", options["vms"]),
        callerCount: readNumber("callers", options["callers"]),
        isPlannedOnly: options["planned"] === true,
        hasWorkspaces: options["workspaces"] === true,
        keep: String(options["keep"]),
    };
}

function readNumber(name: string, value: unknown): number {
    const number = Number(value);
    if (!Number.isFinite(number) || number < 0) {
        throw createError(
            ErrorKind.InvalidSettings,
            `--${name} must be a number of at least 0, but is ${String(value)}.`,
            {
                remedy: "See tarragonpost-soak --help.",
            },
        );
    }
    return number;
}
