import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";

/** What a VM believes about the primaries of the groups. */
export interface Primaries {
    /** The endpoint that takes a group's writes; undefined while none is known or it is being changed. */
    primaryOf(group: string): EndpointRecord | undefined;
    /** Whether several endpoints hold themselves for the primary and nobody has told which one is. */
    isDisputed(group: string): boolean;
    /** Highest term that was seen in a group. */
    termOf(group: string): number;
    /** Takes in the position that an endpoint told with an answer. */
    notePosition(endpoint: EndpointRecord, position: LogPosition): void;
    /** Takes in that an endpoint refused a statement because it is not the primary. */
    noteNotPrimary(endpoint: EndpointRecord): void;
    /** The primary is being changed: nothing is sent to the present one from now on. */
    beginChange(group: string, term: number): void;
    /** An endpoint is the primary since a term. */
    finishChange(group: string, endpointId: string, term: number): void;
    /** The change was given up; the present primary stays. */
    cancelChange(group: string): void;
    /** Calls the listener when another endpoint may have become the primary. */
    onChange(listener: (group: string) => void): void;
}
