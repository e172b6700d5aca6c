import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";

/** The primaries of the groups, as this VM knows them. */
export interface Primaries {
    /** The known primary of a group; undefined while none is known or it is being changed. */
    primaryOf(group: string): EndpointRecord | undefined;
    /** Whether several endpoints are registered as the primary and no announcement of the newest term decides. */
    hasPrimaryConflict(group: string): boolean;
    /**
     * Whether a change of primary was announced and neither its end nor its cancellation, or the announced primary has no
     * record any more or a lower term than observed: another endpoint may lead, so no lease vouches for the known primary.
     */
    isChangeUnfinished(group: string): boolean;
    /** Whether a term above the one in which an endpoint is known to lead was observed in its group. */
    isSuperseded(endpoint: EndpointRecord): boolean;
    /** Highest term observed in a group; 0 before the first. */
    termOf(group: string): number;
    /**
     * Whether a log may succeed the newest one that is known: it has an entry of the announced term, or, while the announced
     * primary has committed nothing in its term, no entry beyond the log of that primary. Any log may if the announced
     * primary has no record any more.
     */
    isOnNewestBranch(group: string, logEnd: LogPosition): boolean;
    /** Whether another endpoint was announced as the primary of its group. */
    isOtherAnnounced(endpoint: EndpointRecord): boolean;
    /** Records the log position in an endpoint's answer, which a replica could have given as well. */
    recordPosition(endpoint: EndpointRecord, position: LogPosition): void;
    /** Records the log position in an answer that an endpoint gives only while it is the primary. */
    recordPositionAsPrimary(endpoint: EndpointRecord, position: LogPosition): void;
    /** Records that an endpoint refused a statement because it is not the primary. */
    recordNotPrimary(endpoint: EndpointRecord): void;
    /** Begins a change of primary: until its end or expiry, the group has no known primary. */
    beginChange(group: string, term: number): void;
    /** Ends a change: the endpoint is the primary as of a term. */
    finishChange(group: string, endpointId: string, term: number): void;
    /** Cancels a change; the current primary stays. */
    cancelChange(group: string): void;
    /** Calls the listener with a group when its known primary may have changed. */
    onChange(listener: (group: string) => void): void;
}
