import type { ProcessControl } from "../types/ProcessControl.js";

/**
 * Creates the interface to the running process.
 *
 * @returns Arguments, output, signals and exit of this process.
 *
 * @example
 * await runBinary(definition, createProcessControl());
 */
export function createProcessControl(): ProcessControl {
    return {
        commandLineArguments: process.argv.slice(2),
        write: text => void process.stdout.write(text),
        writeError: text => void process.stderr.write(text),
        onStopSignal: listener => {
            process.on("SIGTERM", listener);
            process.on("SIGINT", listener);
        },
        exit: code => process.exit(code),
    };
}
