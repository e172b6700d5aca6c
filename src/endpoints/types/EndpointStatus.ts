import type { EndpointRole } from "./EndpointRole.js";

/** Status that an endpoint reports of itself. */
export interface EndpointStatus {
    readonly endpoint: string;
    readonly database: string;
    readonly role: EndpointRole;
    /** Term that the endpoint serves; a replica serves it once it holds the log with which its primary started. */
    readonly term: number;
    /** Highest term that the endpoint has received; it refuses lower ones. */
    readonly fencedTerm: number;
    /** Position of the last log entry that the endpoint holds and has applied. */
    readonly position: number;
    /** Term of the last log entry that the endpoint holds. */
    readonly lastEntryTerm: number;
    readonly isLeaving: boolean;
    /** Time since the last contact with the primary; undefined unless the endpoint is a replica. */
    readonly primarySilenceMilliseconds?: number;
}
