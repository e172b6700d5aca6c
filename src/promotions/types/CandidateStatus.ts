import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { ReplicaStatus } from "../../statements/types/ReplicaStatus.js";

/** An endpoint that could become the primary, and what it holds. */
export interface CandidateStatus {
    readonly endpoint: EndpointRecord;
    readonly status: ReplicaStatus;
}
