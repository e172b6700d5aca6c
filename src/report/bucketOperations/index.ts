import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { RecordedOperation } from "../../history/types/RecordedOperation.js";
import type { LoadRun } from "../../load/types/LoadRun.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { summarizeSamples } from "../../statistics/summarizeSamples/index.js";
import { reportConstants } from "../constants.js";
import type { LoadBucket } from "../types/LoadBucket.js";

/**
 * Groups the answered operations of a run into intervals of equal length, by their completion.
 *
 * @param run A finished run.
 * @returns The intervals in order, without those that have no answer.
 *
 * @example
 * const buckets = bucketOperations(run);
 */
export function bucketOperations(run: LoadRun): LoadBucket[] {
    const { bucketCount, millisecondsPerSecond } = reportConstants;
    const intervalMilliseconds = (run.endedAt - run.startedAt) / bucketCount;
    const groups = new Map<number, RecordedOperation[]>();
    for (const operation of run.operations) {
        if (operation.outcome === OutcomeKind.Answer) {
            const index = Math.min(
                bucketCount - 1,
                Math.floor((operation.completedAt - run.startedAt) / intervalMilliseconds),
            );
            groups.set(index, [...groups.get(index) ?? [], operation]);
        }
    }
    return [...groups].sort(([left], [right]) => left - right).map(([index, operations]) => ({
        seconds: (index + 0.5) * intervalMilliseconds / millisecondsPerSecond,
        ...summarizeGroup(operations),
    }));
}

function summarizeGroup(operations: readonly RecordedOperation[]): Omit<LoadBucket, "seconds"> {
    const latencies = operations.map(({ invokedAt, completedAt }) => completedAt - invokedAt);
    const { p50, p99 } = summarizeSamples(latencies);
    const reads = operations.filter(operation => operation.contents !== undefined);
    const replicaReads = reads.filter(operation => operation.servedBy?.role === EndpointRole.Replica);
    return {
        p50,
        p99,
        replicaSharePercent: reads.length === 0 ? undefined : replicaReads.length * 100 / reads.length,
        acknowledgedWrites: operations.length - reads.length,
    };
}
