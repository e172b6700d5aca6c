import type { EndpointRole } from "../../endpoints/types/EndpointRole.js";

/** One endpoint of the model. */
export interface ModelEndpoint {
    readonly role: EndpointRole;
    /** The term it serves under; 0 while it serves none. */
    readonly term: number;
    readonly fencedTerm: number;
    /** The term it was told to follow; 0 when none. */
    readonly followedTerm: number;
    /** Whether its log was cut to what it shares with the primary it follows. */
    readonly isSynchronized: boolean;
    /** Length of its log when it was promoted. */
    readonly startLength: number;
    /** The entries: a term, negative for the term's marker. */
    readonly log: readonly number[];
}
