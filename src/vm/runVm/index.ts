import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { runBinary } from "../../commandLine/runBinary/index.js";
import { createBoundedWriter } from "../../logging/createBoundedWriter/index.js";
import { metricsConstants } from "../../metrics/constants.js";
import { findSettingsFile } from "../../platform/findSettingsFile/index.js";
import { readVmSettings } from "../../platform/readVmSettings/index.js";
import { vmConstants } from "../constants.js";
import { listVmServices } from "../listVmServices/index.js";

/**
 * Runs the program of a VM of the users' platform.
 *
 * @returns Resolves when the process is to exit.
 *
 * @example
 * await runVm();
 */
export async function runVm(): Promise<void> {
    let settingsFile = "";
    const writeLog = createBoundedWriter(process.stdout, createSystemClock());
    await runBinary({
        name: "tarragonpost-node",
        description: "Serves callers on a VM of the users' platform.",
        findSettingsFile,
        writeLog,
        readSettings: file => {
            settingsFile = file;
            return { ...readVmSettings(file), logTopics: "tarragonpost:*" };
        },
        longestStopMilliseconds: settings => vmConstants.stopGraceShare * settings.graceMilliseconds,
        createServices: settings =>
            listVmServices(settings, {
                writeLog,
                metricsPort: metricsConstants.port,
                readSettings: () => readVmSettings(settingsFile),
                onSettingsSignal: listener => {
                    process.on("SIGHUP", listener);
                    return () => process.off("SIGHUP", listener);
                },
            }),
    });
}
