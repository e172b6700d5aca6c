import type { Clock } from "../../clock/types/Clock.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { disseminationConstants } from "../constants.js";
import { createByteBudget } from "../createByteBudget/index.js";
import type { DisseminatedRecord } from "../types/DisseminatedRecord.js";

/** Options of `createPushQueue`. */
interface PushQueueOptions {
    readonly clock: Clock;
    readonly push: (peer: PeerRecord, records: readonly DisseminatedRecord[]) => Promise<void>;
}

/** Records that wait to be pushed, by peer. */
interface PushQueue {
    add(peer: PeerRecord, record: DisseminatedRecord): void;
}

/** Records that wait for one peer, by kind and key. */
type PeerQueue = Map<string, DisseminatedRecord>;

/**
 * Creates the queue of records to push: in batches, with one call at a time to each peer, within a byte budget.
 *
 * A batch that exceeds the budget or fails is dropped; the comparison of digests repairs the difference.
 *
 * @param options Clock, and the function that pushes a batch.
 * @returns The empty queue.
 *
 * @example
 * queue.add(peer, record);
 */
export function createPushQueue(options: PushQueueOptions): PushQueue {
    const { clock } = options;
    const budget = createByteBudget(clock, {
        bytesPerSecond: disseminationConstants.budgetBytesPerSecond,
        burstBytes: disseminationConstants.budgetBurstBytes,
    });
    const queues = new Map<string, PeerQueue>();

    async function pushQueued(peer: PeerRecord, queue: PeerQueue): Promise<void> {
        await clock.sleep(disseminationConstants.pushDelayMilliseconds);
        while (queue.size > 0) {
            const batch = [...queue].slice(0, disseminationConstants.maximumRecordsPerPush);
            for (const [key] of batch) {
                queue.delete(key);
            }
            const records = batch.map(([, record]) => record);
            if (budget.tryConsume(JSON.stringify(records).length)) {
                await options.push(peer, records).catch(() => {});
            }
        }
        queues.delete(peer.name);
    }

    function add(peer: PeerRecord, record: DisseminatedRecord): void {
        let queue = queues.get(peer.name);
        if (queue === undefined) {
            queue = new Map();
            queues.set(peer.name, queue);
            void pushQueued(peer, queue);
        }
        queue.set(`${record.kind}/${record.key}`, record);
    }

    return { add };
}
