import type { TRPCClient } from "@trpc/client";
import { checkPeerValue } from "../checkPeerValue/index.js";
import { disseminationConstants } from "../constants.js";
import { recordSchemas } from "../recordSchemas.js";
import type { DisseminatedRecord } from "../types/DisseminatedRecord.js";
import type { DisseminationRouter } from "../types/DisseminationRouter.js";
import type { RecordStore } from "../types/RecordStore.js";

/** Options of `compareWithPeer`. */
interface CompareOptions {
    /** Applies records that are newer at the peer or missing in this process. */
    readonly receive: (records: readonly DisseminatedRecord[]) => void;
}

/**
 * Compares the own records with those of one peer and repairs the differences on both sides.
 *
 * Most comparisons end after one short call, because the digests agree.
 *
 * @param store The own records.
 * @param client Client for calls to the peer.
 * @param options Function that applies the peer's newer records.
 * @throws TarragonpostError of kind `InvalidRequest` when the answer of the peer is malformed.
 *
 * @example
 * await compareWithPeer(store, peers.clientOf<DisseminationRouter>(peer), { receive });
 */
export async function compareWithPeer(
    store: RecordStore,
    client: TRPCClient<DisseminationRouter>,
    options: CompareOptions,
): Promise<void> {
    const callOptions = (): { signal: AbortSignal; } => ({
        signal: AbortSignal.timeout(disseminationConstants.callTimeoutMilliseconds),
    });
    const comparison = await client.dissemination.compare.query([...store.digests()], callOptions());
    for (const remote of checkPeerValue(recordSchemas.bucketDigests, comparison)) {
        const request = store.createPullRequest(remote);
        const pulled = await client.dissemination.pull.query(request, callOptions());
        const answer = checkPeerValue(recordSchemas.pullAnswer, pulled);
        options.receive(answer.records);
        const wanted = answer.wantedKeys.flatMap(key => store.get(remote.kind, key) ?? []);
        for (let start = 0; start < wanted.length; start += disseminationConstants.maximumRecordsPerPush) {
            const records = wanted.slice(start, start + disseminationConstants.maximumRecordsPerPush);
            await client.dissemination.push.mutate(records, callOptions());
        }
    }
}
