import { cac } from "cac";
import { once } from "node:events";
import { toTypedError } from "../../errors/toTypedError/index.js";

/** What a stand-in's binary consists of. */
interface StandInProgram {
    readonly name: string;
    readonly description: string;
    /** Starts the stand-in from the settings file; resolves with its end. */
    readonly run: (settingsPath: string) => Promise<{ stop(): Promise<void>; }>;
}

const version = "0.1.0";

/**
 * Runs a stand-in as a program of its own until SIGTERM or SIGINT.
 *
 * @param program Name, description and start of the stand-in.
 *
 * @example
 * await runStandIn({ name: "tarragonpost-platform-stand-in", description, run });
 */
export async function runStandIn(program: StandInProgram): Promise<void> {
    const commandLine = cac(program.name);
    commandLine.command("<settings>", program.description).action(async (settingsPath: string) => {
        const running = await program.run(settingsPath);
        await Promise.race([once(process, "SIGTERM"), once(process, "SIGINT")]);
        await running.stop();
    });
    commandLine.help();
    commandLine.version(version);
    try {
        commandLine.parse(process.argv, { run: false });
        await commandLine.runMatchedCommand();
    }
    catch (error) {
        process.stderr.write(`${program.name}: ${toTypedError(error).message}\n`);
        process.exitCode = 1;
    }
}
