import type { CallerDefinition } from "./CallerDefinition.js";
import type { DatabaseDefinition } from "./DatabaseDefinition.js";
import type { SystemLimits } from "./SystemLimits.js";

/** Document that results from the patches of all versions, without defaults. Never changed in place. */
export interface ConfigurationDocument {
    readonly databases?: Readonly<Record<string, DatabaseDefinition>>;
    readonly callers?: Readonly<Record<string, CallerDefinition>>;
    readonly limits?: Partial<SystemLimits>;
    readonly tokenSecret?: string;
}
