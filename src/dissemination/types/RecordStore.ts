import type { BucketDigests } from "./BucketDigests.js";
import type { DisseminatedRecord } from "./DisseminatedRecord.js";
import type { KindDigest } from "./KindDigest.js";
import type { PullAnswer } from "./PullAnswer.js";
import type { PullRequest } from "./PullRequest.js";
import type { RecordKind } from "./RecordKind.js";

/** The records of one process in memory, with digests that are updated with each change. */
export interface RecordStore {
    /** Stores the record unless one with the same or a higher stamp is held; returns whether it was new. */
    applyRecord(record: DisseminatedRecord): boolean;
    get(kind: RecordKind, key: string): DisseminatedRecord | undefined;
    list(kind: RecordKind): readonly DisseminatedRecord[];
    digests(): readonly KindDigest[];
    /** Returns the bucket hashes of each kind whose digest differs from the given one. */
    compare(digests: readonly KindDigest[]): readonly BucketDigests[];
    /** Creates a request with the keys and stamps in the buckets whose hashes differ from those of the peer. */
    createPullRequest(remote: BucketDigests): PullRequest;
    answerPull(request: PullRequest): PullAnswer;
}
