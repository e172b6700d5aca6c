import type { BucketDigests } from "./BucketDigests.js";
import type { DisseminatedRecord } from "./DisseminatedRecord.js";
import type { KindDigest } from "./KindDigest.js";
import type { PullAnswer } from "./PullAnswer.js";
import type { PullRequest } from "./PullRequest.js";

/** Functions that the router of the dissemination service calls for requests of peers. */
export interface DisseminationExchange {
    /** Applies records that a peer pushed and passes on those that are new. */
    receive(records: readonly DisseminatedRecord[], peerName: string): void;
    compare(digests: readonly KindDigest[]): readonly BucketDigests[];
    pull(request: PullRequest): PullAnswer;
}
