import type { KnownRecord } from "./KnownRecord.js";
import type { RecordKind } from "./RecordKind.js";

/** Requests the records in some buckets that are newer at the peer than in the requesting gateway. */
export interface PullRequest {
    readonly kind: RecordKind;
    readonly buckets: readonly number[];
    readonly known: readonly KnownRecord[];
}
