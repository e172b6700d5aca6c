import type { RecordKind } from "./RecordKind.js";

/** The hash of each bucket of one kind's records. */
export interface BucketDigests {
    readonly kind: RecordKind;
    readonly hashes: readonly number[];
}
