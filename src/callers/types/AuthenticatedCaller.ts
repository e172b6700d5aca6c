import type { CallerDefinition } from "../../configuration/types/CallerDefinition.js";

/** A caller whose key was recognized. */
export interface AuthenticatedCaller extends CallerDefinition {
    readonly name: string;
}
