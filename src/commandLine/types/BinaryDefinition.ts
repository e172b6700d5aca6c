import type { ServiceDefinition } from "../../kernel/types/ServiceDefinition.js";

/** A binary that runs services until it is told to stop. */
export interface BinaryDefinition<Settings extends { readonly name: string; readonly logTopics?: string; }> {
    /** Name of the program. */
    readonly name: string;
    /** One sentence for `--help`. */
    readonly description: string;
    /** Reads and checks the settings file. */
    readSettings(file: string): Settings;
    createServices(settings: Settings): readonly ServiceDefinition[];
}
