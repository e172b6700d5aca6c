import type { EndpointDefinition } from "./EndpointDefinition.js";

/** One database and the endpoints of its group, by endpoint name. */
export interface DatabaseDefinition {
    readonly endpoints: Readonly<Record<string, Omit<EndpointDefinition, "name">>>;
    /** The endpoint that is the primary of term 1 as long as no other primary is recorded. */
    readonly initialPrimary: string;
}
