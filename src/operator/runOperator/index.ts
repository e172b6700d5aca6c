import { cac } from "cac";
import { createProcessControl } from "../../commandLine/createProcessControl/index.js";
import { readProductVersion } from "../../commandLine/readProductVersion/index.js";
import { reportFailure } from "../../commandLine/reportFailure/index.js";
import { ExitCode } from "../../commandLine/types/ExitCode.js";
import type { ProcessControl } from "../../commandLine/types/ProcessControl.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { checkSettings } from "../checkSettings/index.js";
import { drainProcess } from "../drainProcess/index.js";
import { getConfiguration } from "../getConfiguration/index.js";
import { openSession } from "../openSession/index.js";
import { patchConfiguration } from "../patchConfiguration/index.js";
import { readTextOption } from "../readTextOption/index.js";
import { resolveConnection } from "../resolveConnection/index.js";
import { showConfigurationStatus } from "../showConfigurationStatus/index.js";
import { showDifference } from "../showDifference/index.js";
import { showHistory } from "../showHistory/index.js";
import { showStatus } from "../showStatus/index.js";
import { showTimeline } from "../showTimeline/index.js";
import type { OperatorCommand } from "../types/OperatorCommand.js";
import type { OperatorOptions } from "../types/OperatorOptions.js";

const configurationCommands: Readonly<Record<string, OperatorCommand>> = {
    get: getConfiguration,
    history: showHistory,
    diff: showDifference,
    patch: patchConfiguration,
    status: showConfigurationStatus,
};

/**
 * Runs the operator's program with the words of the command line.
 *
 * @param control The process; the running one when left out.
 * @param environment The environment variables.
 * @returns Resolves when the command has ended and the exit code is set.
 *
 * @example
 * await runOperator();
 */
export async function runOperator(
    control: ProcessControl = createProcessControl(),
    environment: Readonly<Record<string, string | undefined>> = process.env,
): Promise<void> {
    try {
        control.exit(await runCommand(control, environment));
    }
    catch (error) {
        control.exit(reportFailure(error, control));
    }
}

async function runCommand(
    control: ProcessControl,
    environment: Readonly<Record<string, string | undefined>>,
): Promise<ExitCode> {
    const commandLine = cac("tarragonpost");

    async function run(
        command: OperatorCommand,
        words: readonly string[],
        options: OperatorOptions,
    ): Promise<ExitCode> {
        const textOptions = readTextOptions(control.words);
        const session = openSession(resolveConnection(textOptions, environment), control);
        try {
            return await command(session, words, { ...options, ...textOptions });
        }
        finally {
            await session.stop();
        }
    }

    commandLine.option("--gateway <address>", "Gateway to ask, HOST:PORT");
    commandLine.option("--settings <file>", "Settings file with `gateways` and `peerSecret`");
    commandLine.command("config <action> [...words]", "get | history | diff A B | patch FILE | status")
        .option("--version-number <number>", "get: an older version")
        .option("--against <number>", "patch: the version that the patch was written against")
        .option("--id <text>", "patch: patch id; repeat it to submit the same patch again")
        .option("--wait", "patch: wait until the version is in force in every process")
        .example("tarragonpost config patch --against 7 --wait patch.json")
        .action((action: string, words: string[], options: OperatorOptions) => {
            const command = Object.hasOwn(configurationCommands, action) ? configurationCommands[action] : undefined;
            if (command === undefined) {
                throw createUsageError(`config ${action}`);
            }
            return run(command, words, options);
        });
    commandLine.command("settings <action> [file]", "check FILE")
        .option("--binary <name>", "The program that is to read the file")
        .action((action: string, file: string | undefined, options: OperatorOptions) => {
            if (action !== "check") {
                throw createUsageError(`settings ${action}`);
            }
            return checkSettings(file, options.binary, control);
        });
    commandLine.command("status", "Show the fleet at a glance")
        .action((options: OperatorOptions) => run(showStatus, [], options));
    commandLine.command("timeline", "Show the events of all processes in order")
        .option("--request <id>", "Only events of this request")
        .option("--database <name>", "Only events of this database")
        .option("--version-number <number>", "Only events of this configuration version")
        .option("--follow", "Go on until interrupted")
        .action((options: OperatorOptions) => run(showTimeline, [], options));
    commandLine.command("drain <name>", "Ask a gateway or an entry to stop gracefully")
        .action((name: string, options: OperatorOptions) => run(drainProcess, [name], options));
    commandLine.help();
    commandLine.version(readProductVersion());

    const parsed = commandLine.parse(["node", "tarragonpost", ...control.words], { run: false });
    if (parsed.options["help"] === true || parsed.options["version"] === true) {
        return ExitCode.Success;
    }
    if (commandLine.matchedCommand === undefined) {
        throw createUsageError(control.words.join(" "));
    }
    return await (commandLine.runMatchedCommand() as Promise<ExitCode>);
}

function readTextOptions(words: readonly string[]): OperatorOptions {
    return {
        settings: readTextOption(words, "--settings"),
        gateway: readTextOption(words, "--gateway"),
        id: readTextOption(words, "--id"),
        request: readTextOption(words, "--request"),
        database: readTextOption(words, "--database"),
    };
}

function createUsageError(words: string): Error {
    return createError(ErrorKind.InvalidRequest, `There is no command \`${words}\`.`, {
        remedy: "See `tarragonpost --help`.",
    });
}
