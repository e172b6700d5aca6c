import type { BucketDigests } from "./BucketDigests.js";
import type { DisseminatedRecord } from "./DisseminatedRecord.js";
import type { KindDigest } from "./KindDigest.js";
import type { PullAnswer } from "./PullAnswer.js";
import type { PullRequest } from "./PullRequest.js";

/** What the router of the dissemination service calls when a peer asks. */
export interface DisseminationExchange {
    /** Takes in records that a peer pushed and passes on those that were new. */
    receive(records: readonly DisseminatedRecord[], peerName: string): void;
    compare(digests: readonly KindDigest[]): readonly BucketDigests[];
    pull(request: PullRequest): PullAnswer;
}
