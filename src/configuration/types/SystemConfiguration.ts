import type { CallerDefinition } from "./CallerDefinition.js";
import type { DatabaseDefinition } from "./DatabaseDefinition.js";
import type { SystemLimits } from "./SystemLimits.js";

/** The content of one configuration version, with defaults; operators change it through patches. */
export interface SystemConfiguration {
    readonly databases: Readonly<Record<string, DatabaseDefinition>>;
    readonly callers: Readonly<Record<string, CallerDefinition>>;
    readonly limits: SystemLimits;
    /** Secret for signing session tokens. */
    readonly tokenSecret: string;
}
