import type { CallerDefinition } from "../../configuration/types/CallerDefinition.js";

/** A caller that was authenticated by its key. */
export interface AuthenticatedCaller extends CallerDefinition {
    readonly name: string;
}
