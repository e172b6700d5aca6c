import { cac } from "cac";
import debug from "debug";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { EventKind } from "../../events/types/EventKind.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import { createKernel } from "../../kernel/createKernel/index.js";
import { ServiceName } from "../../kernel/types/ServiceName.js";
import { createLogger } from "../../logging/createLogger/index.js";
import { commandLineConstants } from "../constants.js";
import { createProcessControl } from "../createProcessControl/index.js";
import { readProductVersion } from "../readProductVersion/index.js";
import { reportFailure } from "../reportFailure/index.js";
import { stopOnSignals } from "../stopOnSignals/index.js";
import type { BinaryDefinition } from "../types/BinaryDefinition.js";
import type { ExitCode } from "../types/ExitCode.js";
import type { ProcessControl } from "../types/ProcessControl.js";

/**
 * Runs a binary: reads its settings, starts its services, and stops them gracefully at SIGTERM or SIGINT.
 *
 * Each further signal logs the work that the stop still waits for. The process exits with 0 after a graceful stop, with
 * 1 after a failure and with 2 when the command line or the settings are invalid.
 *
 * @param definition Name, description, settings and services of the binary.
 * @param control The process; defaults to the running process.
 *
 * @example
 * await runBinary({ name: "tarragonpost-gateway", description, readSettings, createServices });
 */
export async function runBinary<Settings extends { readonly name: string; readonly logTopics?: string; }>(
    definition: BinaryDefinition<Settings>,
    control: ProcessControl = createProcessControl(),
): Promise<void> {
    try {
        const exitCode = await startAndStop(definition, control);
        if (exitCode !== undefined) {
            control.exit(exitCode);
        }
    }
    catch (error) {
        control.exit(reportFailure(error, control));
    }
}

/** Resolves with the exit code after the graceful stop, or with undefined when only help or the version was printed. */
async function startAndStop<Settings extends { readonly name: string; readonly logTopics?: string; }>(
    definition: BinaryDefinition<Settings>,
    control: ProcessControl,
): Promise<ExitCode | undefined> {
    const file = parseCommandLine(definition, control);
    if (file === undefined) {
        return undefined;
    }
    const settings = definition.readSettings(file);
    debug.enable([commandLineConstants.defaultLogTopics, settings.logTopics ?? ""].join(","));
    const clock = createSystemClock();
    const log = createLogger(settings.name, clock, definition.writeLog).topic("process");
    const definitions = definition.createServices(settings);
    const kernel = createKernel(definitions);
    const serviceNames = definitions.map(service => service.name);
    const events = serviceNames.includes(ServiceName.Events)
        ? kernel.get<EventRecorder>(ServiceName.Events)
        : undefined;
    const longestStopMilliseconds = definition.longestStopMilliseconds?.(settings);
    const stopped = stopOnSignals(kernel, { control, clock, longestStopMilliseconds, serviceNames, log, events });
    const text = `Started ${definition.name} ${readProductVersion()}.`;
    log(text);
    events?.record({ kind: EventKind.ProcessStarted, text });
    await Promise.race([kernel.start(), stopped]);
    return stopped;
}

function parseCommandLine(
    definition: Pick<BinaryDefinition<never>, "name" | "description" | "findSettingsFile">,
    control: ProcessControl,
): string | undefined {
    const commandLine = cac(definition.name);
    const command = commandLine.command("", definition.description)
        .usage("--settings FILE")
        .option("--settings <file>", "Settings file in JSON with comments")
        .action(() => {});
    commandLine.help();
    commandLine.version(readProductVersion());
    const parsed = commandLine.parse(["node", definition.name, ...control.commandLineArguments]);
    if (parsed.options["help"] === true || parsed.options["version"] === true) {
        return undefined;
    }
    command.checkUnknownOptions();
    const file: unknown = parsed.options["settings"] ?? definition.findSettingsFile?.();
    if (file === undefined) {
        throw createError(ErrorKind.InvalidSettings, "No settings file is given.", {
            remedy: `Start the program as \`${definition.name} --settings FILE\`.`,
        });
    }
    return String(file);
}
