import { cac } from "cac";
import { createProcessControl } from "../../commandLine/createProcessControl/index.js";
import { readProductVersion } from "../../commandLine/readProductVersion/index.js";
import { reportFailure } from "../../commandLine/reportFailure/index.js";
import { ExitCode } from "../../commandLine/types/ExitCode.js";
import type { ProcessControl } from "../../commandLine/types/ProcessControl.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { checkSettings } from "../checkSettings/index.js";
import { createCommandContext } from "../createCommandContext/index.js";
import { drainProcess } from "../drainProcess/index.js";
import { getConfiguration } from "../getConfiguration/index.js";
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
 * Runs the operator's command with the arguments of the command line.
 *
 * @param control The process; defaults to the running process.
 * @param environment The environment variables.
 * @returns Resolves when the command has ended and the exit code has been passed to `control.exit`.
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
        commandArguments: readonly string[],
        options: OperatorOptions,
    ): Promise<ExitCode> {
        const textOptions = readTextOptions(control.commandLineArguments);
        const context = createCommandContext(resolveConnection(textOptions, environment), control);
        try {
            return await command(context, commandArguments, { ...options, ...textOptions });
        }
        finally {
            await context.stop();
        }
    }

    commandLine.option("--gateway <address>", "Address of the gateway to query, HOST:PORT");
    commandLine.option("--settings <file>", "Settings file with `gateways` and `peerSecret`");
    commandLine.command("config <action> [...arguments]", "get | history | diff A B | patch FILE | status")
        .option("--version-number <number>", "get: print this version instead of the one in force")
        .option("--against <number>", "patch: the version that the patch is based on")
        .option("--id <text>", "patch: id of the patch; repeat the id to submit the same patch again safely")
        .option("--wait", "patch: wait until the version is in force in every process")
        .example("tarragonpost config patch --against 7 --wait patch.json")
        .action((action: string, commandArguments: string[], options: OperatorOptions) => {
            const command = Object.hasOwn(configurationCommands, action) ? configurationCommands[action] : undefined;
            if (command === undefined) {
                throw createUsageError(`config ${action}`);
            }
            return run(command, commandArguments, options);
        });
    commandLine.command("settings <action> [file]", "check FILE")
        .option("--binary <name>", "Program that reads the file")
        .action((action: string, file: string | undefined, options: OperatorOptions) => {
            if (action !== "check") {
                throw createUsageError(`settings ${action}`);
            }
            return checkSettings(file, options.binary, control);
        });
    commandLine.command("status", "Show a summary of the fleet")
        .action((options: OperatorOptions) => run(showStatus, [], options));
    commandLine.command("timeline", "Show the events of all processes in order of their timestamps")
        .option("--request <id>", "Only events of this request")
        .option("--database <name>", "Only events of this database")
        .option("--version-number <number>", "Only events of this configuration version")
        .option("--follow", "Print new events until interrupted")
        .action((options: OperatorOptions) => run(showTimeline, [], options));
    commandLine.command("drain <name>", "Request a graceful stop of a gateway or an entry")
        .action((name: string, options: OperatorOptions) => run(drainProcess, [name], options));
    commandLine.help();
    commandLine.version(readProductVersion());

    const parsed = commandLine.parse(["node", "tarragonpost", ...control.commandLineArguments], { run: false });
    if (parsed.options["help"] === true || parsed.options["version"] === true) {
        return ExitCode.Success;
    }
    if (commandLine.matchedCommand === undefined) {
        throw createUsageError(control.commandLineArguments.join(" "));
    }
    return await (commandLine.runMatchedCommand() as Promise<ExitCode>);
}

function readTextOptions(commandLineArguments: readonly string[]): OperatorOptions {
    return {
        settings: readTextOption(commandLineArguments, "--settings"),
        gateway: readTextOption(commandLineArguments, "--gateway"),
        id: readTextOption(commandLineArguments, "--id"),
        request: readTextOption(commandLineArguments, "--request"),
        database: readTextOption(commandLineArguments, "--database"),
    };
}

function createUsageError(commandText: string): Error {
    return createError(ErrorKind.InvalidRequest, `There is no command \`${commandText}\`.`, {
        remedy: "See `tarragonpost --help`.",
    });
}
