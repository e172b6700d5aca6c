import { build } from "hdr-histogram-js";
import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { RecordedOperation } from "../../history/types/RecordedOperation.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { loadConstants } from "../constants.js";
import { measureWriteGaps } from "../measureWriteGaps/index.js";
import type { LatencySummary } from "../types/LatencySummary.js";
import type { LoadRun } from "../types/LoadRun.js";
import type { LoadSummary } from "../types/LoadSummary.js";

/**
 * Computes the figures of a run from its operations.
 *
 * @param run A finished run.
 * @returns Counts, rates, latencies, the share of reads served by replicas, and the write gaps.
 *
 * @example
 * const summary = summarizeLoad(run);
 */
export function summarizeLoad(run: LoadRun): LoadSummary {
    const seconds = (run.endedAt - run.startedAt) / loadConstants.millisecondsPerSecond;
    const answered = run.operations.filter(operation => operation.outcome === OutcomeKind.Answer);
    const reads = answered.filter(operation => operation.contents !== undefined);
    const replicaReads = reads.filter(operation => operation.servedBy?.role === EndpointRole.Replica);
    return {
        seconds,
        operationCount: run.operations.length,
        answersPerSecond: answered.length / seconds,
        countByOutcome: countBy(run.operations, operation => operation.outcome),
        countByReason: countBy(
            run.operations.filter(operation => operation.outcome !== OutcomeKind.Answer),
            operation => operation.reason ?? "",
        ),
        latencyByKind: Object.fromEntries(
            [...groupBy(answered, operation => operation.kind)]
                .map(([kind, operations]) => [kind, summarizeLatency(operations)]),
        ),
        replicaShare: reads.length === 0 ? 0 : replicaReads.length / reads.length,
        writeGaps: measureWriteGaps(run),
    };
}

function groupBy(
    operations: readonly RecordedOperation[],
    keyOf: (operation: RecordedOperation) => string,
): Map<string, RecordedOperation[]> {
    const groups = new Map<string, RecordedOperation[]>();
    for (const operation of operations) {
        const key = keyOf(operation);
        const group = groups.get(key) ?? [];
        group.push(operation);
        groups.set(key, group);
    }
    return groups;
}

function countBy(
    operations: readonly RecordedOperation[],
    keyOf: (operation: RecordedOperation) => string,
): Record<string, number> {
    return Object.fromEntries([...groupBy(operations, keyOf)].map(([key, group]) => [key, group.length]));
}

function summarizeLatency(operations: readonly RecordedOperation[]): LatencySummary {
    const histogram = build({
        highestTrackableValue: loadConstants.maximumLatencyMicroseconds,
        numberOfSignificantValueDigits: loadConstants.latencySignificantDigits,
    });
    for (const { invokedAt, completedAt } of operations) {
        histogram.recordValue(
            Math.max(1, Math.round((completedAt - invokedAt) * loadConstants.microsecondsPerMillisecond)),
        );
    }
    const percentile = (rank: number): number =>
        histogram.getValueAtPercentile(rank) / loadConstants.microsecondsPerMillisecond;
    return {
        count: operations.length,
        p50: percentile(50),
        p90: percentile(90),
        p99: percentile(99),
        maximum: percentile(100),
    };
}
