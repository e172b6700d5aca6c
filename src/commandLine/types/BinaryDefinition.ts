import type { ServiceDefinition } from "../../kernel/types/ServiceDefinition.js";

/** A binary that runs services until it is told to stop. */
export interface BinaryDefinition<Settings extends { readonly name: string; readonly logTopics?: string; }> {
    /** Name of the program. */
    readonly name: string;
    /** One sentence for `--help`. */
    readonly description: string;
    /** Names the settings file when the command line names none. */
    readonly findSettingsFile?: () => string | undefined;
    /** Writes log lines; to standard error when left out. */
    readonly writeLog?: (line: string) => void;
    /** Reads and checks the settings file. */
    readSettings(file: string): Settings;
    createServices(settings: Settings): readonly ServiceDefinition[];
}
