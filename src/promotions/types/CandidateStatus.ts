import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { ReplicaStatus } from "../../statements/types/ReplicaStatus.js";

/** An endpoint that can become the primary, and its status. */
export interface CandidateStatus {
    readonly endpoint: EndpointRecord;
    readonly status: ReplicaStatus;
}
