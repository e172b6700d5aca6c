import type { EndpointRole } from "./EndpointRole.js";

/** What an endpoint says of itself. */
export interface EndpointStatus {
    readonly endpoint: string;
    readonly database: string;
    readonly role: EndpointRole;
    /** The term it serves under; a replica reports it once it holds the primary's whole starting log. */
    readonly term: number;
    /** Highest term that it was shown; lower terms are refused. */
    readonly fencedTerm: number;
    /** Position of the last entry it holds and has applied. */
    readonly position: number;
    /** Term of the last entry it holds. */
    readonly lastEntryTerm: number;
    readonly isLeaving: boolean;
    /** Time since it last heard from the primary it follows; undefined unless it is a replica. */
    readonly primarySilenceMilliseconds?: number;
}
