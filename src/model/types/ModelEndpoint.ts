import type { EndpointRole } from "../../endpoints/types/EndpointRole.js";

/** One endpoint of the model. */
export interface ModelEndpoint {
    readonly role: EndpointRole;
    /** Term that the endpoint serves; 0 while it serves none. */
    readonly term: number;
    readonly fencedTerm: number;
    /** Term whose primary the endpoint was ordered to follow; 0 when none. */
    readonly followedTerm: number;
    /** Whether the log was cut to the entries shared with the primary that the endpoint follows. */
    readonly isSynchronized: boolean;
    /** Length of the log when the endpoint was promoted. */
    readonly startLength: number;
    /** Each entry is the number of its term, negative for the term's marker. */
    readonly log: readonly number[];
}
