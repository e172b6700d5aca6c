import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { siteConstants } from "../constants.js";
import { SiteBinary } from "../types/SiteBinary.js";
import type { SiteProcess } from "../types/SiteProcess.js";

const binaryFolders: Readonly<Record<SiteBinary, string>> = {
    [SiteBinary.Endpoint]: "endpointStandIn",
    [SiteBinary.Entry]: "entry",
    [SiteBinary.Gateway]: "gateway",
    [SiteBinary.Node]: "node",
    [SiteBinary.Operator]: "operator",
    [SiteBinary.Platform]: "platformStandIn",
};

const runningChildren = new Set<ChildProcess>();

process.once("exit", () => {
    for (const child of runningChildren) {
        child.kill("SIGKILL");
    }
});

/** Options of `startProcess`. */
interface StartProcessOptions {
    /** Settings file, if the program requires one. */
    readonly settingsFile?: string;
    /** Further arguments of the command line. */
    readonly commandLineArguments?: readonly string[];
    /** Arguments of the runtime, before the program. */
    readonly runtimeArguments?: readonly string[];
}

/**
 * Starts one program of a site from the build output.
 *
 * The started process is killed when the current process exits.
 *
 * @param name Name of the process within the site.
 * @param binary The program.
 * @param options The settings file and further arguments.
 * @returns The process.
 *
 * @example
 * const gateway = startProcess("vm-1-gateway", SiteBinary.Gateway, { settingsFile });
 */
export function startProcess(name: string, binary: SiteBinary, options: StartProcessOptions): SiteProcess {
    const file = new URL(`../../../dist/binaries/${binaryFolders[binary]}/index.js`, import.meta.url).pathname;
    const settings = options.settingsFile === undefined ? [] : ["--settings", options.settingsFile];
    const { runtimeArguments = [], commandLineArguments = [] } = options;
    const child = spawn(process.execPath, [...runtimeArguments, file, ...settings, ...commandLineArguments], {
        stdio: ["ignore", "pipe", "pipe"],
        env: { ...process.env, NODE_OPTIONS: "" },
    });
    let output = "";
    const appendOutput = (text: Buffer): void => {
        output = (output + text.toString()).slice(-siteConstants.maximumOutputCharacters);
    };
    child.stdout.on("data", appendOutput);
    child.stderr.on("data", appendOutput);
    runningChildren.add(child);
    let hasExited = false;
    const exited = once(child, "close").then(([code, signal]) => {
        hasExited = true;
        runningChildren.delete(child);
        return String(signal ?? code);
    });

    function signal(signalName: NodeJS.Signals): void {
        if (!hasExited) {
            child.kill(signalName);
        }
    }

    return { name, processId: child.pid ?? 0, exited, signal, output: () => output };
}
