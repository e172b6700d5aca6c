import type { KnownRecord } from "./KnownRecord.js";
import type { RecordKind } from "./RecordKind.js";

/** Asks a peer for what is newer in some buckets than what the asker holds. */
export interface PullRequest {
    readonly kind: RecordKind;
    readonly buckets: readonly number[];
    readonly known: readonly KnownRecord[];
}
