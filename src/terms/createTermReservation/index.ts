import type { Clock } from "../../clock/types/Clock.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { EventKind } from "../../events/types/EventKind.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import { hashText } from "../../hashing/hashText/index.js";
import type { PlatformClient } from "../../objectStore/types/PlatformClient.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { termConstants } from "../constants.js";
import { listRetryDelays } from "../listRetryDelays/index.js";
import type { TermBlock } from "../types/TermBlock.js";
import type { TermReservation } from "../types/TermReservation.js";
import { updateTermBucket } from "../updateTermBucket/index.js";

/** Services that the term reservation uses. */
interface TermReservationDependencies {
    readonly platform: PlatformClient;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventRecorder;
}

/** Reservations collected for one bucket, and the store update that fulfils them. */
interface PendingBatch {
    readonly lowerBounds: Map<string, number>;
    readonly done: Promise<void>;
}

const retriedKinds = new Set<ErrorKind>([ErrorKind.Conflict, ErrorKind.OutcomeUnknown, ErrorKind.PlatformUnavailable]);

/**
 * Creates the reservation of terms.
 *
 * The platform's store holds an object for each bucket of databases, with the highest reserved term of each database.
 * Terms are reserved in blocks ahead of their use, so that a failover allocates its term from memory.
 *
 * @param dependencies Services that it uses.
 * @returns The term reservation.
 *
 * @example
 * await terms.reserve("stock", record.term);
 * const term = terms.allocate("stock", record.term);
 */
export function createTermReservation(dependencies: TermReservationDependencies): TermReservation {
    const { platform, clock, random, events } = dependencies;
    const blocks = new Map<string, readonly TermBlock[]>();
    const batches = new Map<string, PendingBatch>();

    function blocksAbove(database: string, above: number): readonly TermBlock[] {
        return (blocks.get(database) ?? [])
            .map(({ first, last }) => ({ first: Math.max(first, above + 1), last }))
            .filter(({ first, last }) => first <= last);
    }

    function addBlocks(database: string, added: readonly TermBlock[]): void {
        const held = [...(blocks.get(database) ?? []), ...added];
        blocks.set(database, held.sort((left, right) => left.first - right.first));
    }

    async function update(key: string, lowerBounds: ReadonlyMap<string, number>): Promise<void> {
        const delays = listRetryDelays(random);
        for (;;) {
            try {
                const reserved = await updateTermBucket(platform, key, lowerBounds);
                for (const [database, block] of reserved) {
                    addBlocks(database, [block]);
                    const text = `Reserved terms ${block.first} to ${block.last} of ${database}.`;
                    events.record({ kind: EventKind.TermReserved, database, term: block.first, text });
                }
                return;
            }
            catch (error) {
                const delay = delays.next();
                if (delay.done === true || !retriedKinds.has(toTypedError(error).kind)) {
                    throw error;
                }
                await clock.sleep(delay.value);
            }
        }
    }

    async function runBatch(key: string, lowerBounds: ReadonlyMap<string, number>): Promise<void> {
        await clock.sleep(termConstants.batchDelayMilliseconds);
        batches.delete(key);
        await update(key, lowerBounds);
    }

    async function reserve(database: string, above: number): Promise<void> {
        if (count(database, above) > termConstants.termsPerReservation / 2) {
            return;
        }
        const key = `${termConstants.keyPrefix}${hashText(database) % termConstants.bucketCount}`;
        let batch = batches.get(key);
        if (batch === undefined) {
            const lowerBounds = new Map<string, number>();
            batch = { lowerBounds, done: runBatch(key, lowerBounds) };
            batches.set(key, batch);
        }
        batch.lowerBounds.set(database, Math.max(above, batch.lowerBounds.get(database) ?? 0));
        await batch.done;
    }

    function allocate(database: string, above: number): number | undefined {
        const [lowest, ...others] = blocksAbove(database, above);
        if (lowest === undefined) {
            return undefined;
        }
        blocks.set(database, [{ first: lowest.first + 1, last: lowest.last }, ...others]);
        return lowest.first;
    }

    function count(database: string, above: number): number {
        return blocksAbove(database, above).reduce((sum, { first, last }) => sum + last - first + 1, 0);
    }

    function relinquish(database: string): readonly number[] {
        const held = blocksAbove(database, 0);
        blocks.delete(database);
        return held.flatMap(({ first, last }) => Array.from({ length: last - first + 1 }, (_, index) => first + index));
    }

    function accept(database: string, terms: readonly number[]): void {
        addBlocks(database, terms.map(term => ({ first: term, last: term })));
    }

    return { reserve, allocate, count, relinquish, accept };
}
