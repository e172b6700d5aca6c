import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";
import type { CandidateStatus } from "./CandidateStatus.js";

/** Searches the endpoint that succeeds a group's primary. */
export interface SuccessorSearch {
    /** Fails while endpoints answer, none of them has an entry of the log's newest term, and one that has may come back. */
    require(search: Pick<SearchParameters, "group" | "currentPrimary">): Promise<void>;
    /**
     * Waits for a candidate that has the log to its end; at the deadline takes the best one.
     *
     * Fails when no candidate can be promoted, or when one with a newer log may come back.
     */
    find(search: SearchParameters): Promise<CandidateStatus>;
}

/** The primary that is to be succeeded. */
interface SearchParameters {
    readonly group: string;
    readonly currentPrimary: EndpointRecord | undefined;
    /** End of the log, when the current primary has stepped down and told it. */
    readonly logEnd: LogPosition | undefined;
}
