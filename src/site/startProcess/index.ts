import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { siteConstants } from "../constants.js";
import { SiteBinary } from "../types/SiteBinary.js";
import type { SiteProcess } from "../types/SiteProcess.js";

const folders: Readonly<Record<SiteBinary, string>> = {
    [SiteBinary.Endpoint]: "endpointStandIn",
    [SiteBinary.Entry]: "entry",
    [SiteBinary.Gateway]: "gateway",
    [SiteBinary.Node]: "node",
    [SiteBinary.Operator]: "operator",
    [SiteBinary.Platform]: "platformStandIn",
};

const running = new Set<ChildProcess>();

process.once("exit", () => {
    for (const child of running) {
        child.kill("SIGKILL");
    }
});

/** Options of `startProcess`. */
interface StartProcessOptions {
    /** Settings file, when the program takes one. */
    readonly settingsFile?: string;
    /** Further words of the command line. */
    readonly words?: readonly string[];
}

/**
 * Starts one program of a site from the build's output.
 *
 * The process ends with this one at the latest.
 *
 * @param name Name of the process within the site.
 * @param binary The program.
 * @param options Its settings file and further words.
 * @returns The process.
 *
 * @example
 * const gateway = startProcess("vm-1-gateway", SiteBinary.Gateway, { settingsFile });
 */
export function startProcess(name: string, binary: SiteBinary, options: StartProcessOptions): SiteProcess {
    const file = new URL(`../../../dist/binaries/${folders[binary]}/index.js`, import.meta.url).pathname;
    const settings = options.settingsFile === undefined ? [] : ["--settings", options.settingsFile];
    const child = spawn(process.execPath, [file, ...settings, ...options.words ?? []], {
        stdio: ["ignore", "pipe", "pipe"],
        env: { ...process.env, NODE_OPTIONS: "" },
    });
    let output = "";
    const keep = (text: Buffer): void => {
        output = (output + text.toString()).slice(-siteConstants.maximumOutputCharacters);
    };
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    running.add(child);
    let hasExited = false;
    const exited = once(child, "close").then(([code, signal]) => {
        hasExited = true;
        running.delete(child);
        return String(signal ?? code);
    });

    function signal(signalName: NodeJS.Signals): void {
        if (!hasExited) {
            child.kill(signalName);
        }
    }

    return { name, processId: child.pid ?? 0, exited, signal, output: () => output };
}
