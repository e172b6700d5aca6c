import { hashText } from "../../hashing/hashText/index.js";
import { membershipConstants } from "../constants.js";
import type { PeerRecord } from "../types/PeerRecord.js";
import { PeerState } from "../types/PeerState.js";

/**
 * Computes digests of the records of all gateways that are not dead, one for each bucket of names.
 *
 * @param records The records.
 * @returns The digests, which do not depend on the order of the records.
 *
 * @example
 * const differing = digestRecords(records).map((digest, bucket) => digest !== remoteDigests[bucket]);
 */
export function digestRecords(records: readonly PeerRecord[]): readonly number[] {
    const { synchronizationBucketCount } = membershipConstants;
    const digests = Array.from({ length: synchronizationBucketCount }, () => 0);
    for (const { name, incarnation, state } of records) {
        if (state !== PeerState.Dead) {
            const bucket = hashText(name) % synchronizationBucketCount;
            digests[bucket] = ((digests[bucket] ?? 0) ^ hashText(`${name}/${incarnation}/${state}`)) >>> 0;
        }
    }
    return digests;
}
