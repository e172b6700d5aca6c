import type { ServiceDefinition } from "../../kernel/types/ServiceDefinition.js";

/** Definition of a binary that runs services until it receives a stop signal. */
export interface BinaryDefinition<Settings extends { readonly name: string; readonly logTopics?: string; }> {
    /** Name of the program. */
    readonly name: string;
    /** One sentence for `--help`. */
    readonly description: string;
    /** Finds the settings file when the command line gives none. */
    readonly findSettingsFile?: () => string | undefined;
    /** Writes a log line; defaults to standard error. */
    readonly writeLog?: (line: string) => void;
    /** Reads and validates the settings file. */
    readSettings(file: string): Settings;
    /** Time from the first signal to stop after which the process exits, whatever has not stopped; by default it waits. */
    longestStopMilliseconds?(settings: Settings): number;
    createServices(settings: Settings): readonly ServiceDefinition[];
}
