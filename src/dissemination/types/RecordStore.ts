import type { BucketDigests } from "./BucketDigests.js";
import type { DisseminatedRecord } from "./DisseminatedRecord.js";
import type { KindDigest } from "./KindDigest.js";
import type { PullAnswer } from "./PullAnswer.js";
import type { PullRequest } from "./PullRequest.js";
import type { RecordKind } from "./RecordKind.js";

/** The records of one process in memory, with digests that are kept up to date at each change. */
export interface RecordStore {
    /** Keeps the record unless a stamp as high is held; returns whether it was new. */
    take(record: DisseminatedRecord): boolean;
    get(kind: RecordKind, key: string): DisseminatedRecord | undefined;
    list(kind: RecordKind): readonly DisseminatedRecord[];
    digests(): readonly KindDigest[];
    /** Bucket hashes of each kind whose digest differs from the given ones. */
    compare(digests: readonly KindDigest[]): readonly BucketDigests[];
    /** Keys and stamps held in the buckets whose hash differs from the given ones, as a request to the peer. */
    pullRequest(remote: BucketDigests): PullRequest;
    answerPull(request: PullRequest): PullAnswer;
}
