import type { RecordKind } from "./RecordKind.js";

/** A compact digest of all records of one kind. */
export interface KindDigest {
    readonly kind: RecordKind;
    readonly count: number;
    readonly hash: number;
}
