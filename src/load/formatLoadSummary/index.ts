import type { HistoryVerdict } from "../../history/types/HistoryVerdict.js";
import type { LoadSummary } from "../types/LoadSummary.js";

/**
 * Formats the figures of a run and the verdict on its history as text.
 *
 * @param summary The figures.
 * @param verdict The verdict of the history check.
 * @returns Lines of text, each with its line end.
 *
 * @example
 * process.stdout.write(formatLoadSummary(summary, verdict));
 */
export function formatLoadSummary(summary: LoadSummary, verdict: HistoryVerdict): string {
    const lines = [
        `operations        ${summary.operationCount} in ${summary.seconds.toFixed(1)} s`
        + ` (${summary.answersPerSecond.toFixed(0)} answers/s)`,
        `outcomes          ${formatCounts(summary.countByOutcome)}`,
        `reasons           ${formatCounts(summary.countByReason)}`,
        `replica share     ${(summary.replicaShare * 100).toFixed(1)} % of answered reads`,
        "",
        "latency in ms          count       p50       p90       p99       max",
        ...Object.entries(summary.latencyByKind).map(([kind, latency]) =>
            [
                kind.padEnd(16),
                String(latency.count).padStart(12),
                ...[latency.p50, latency.p90, latency.p99, latency.maximum].map(each => each.toFixed(2).padStart(10)),
            ].join("")
        ),
        "",
        ...summary.writeGaps.map(gap =>
            `write gap         ${gap.milliseconds.toFixed(0)} ms in ${gap.database}`
            + ` ${gap.fault === undefined ? "(longest of the run)" : `around: ${gap.fault}`}`
            + (gap.isOver ? "" : ", not over at the end of the run")
        ),
        "",
        ...formatVerdict(verdict),
    ];
    return `${lines.join("\n")}\n`;
}

function formatCounts(counts: Readonly<Record<string, number>>): string {
    return Object.entries(counts).map(([name, count]) => `${name} ${count}`).join(", ") || "none";
}

function formatVerdict(verdict: HistoryVerdict): string[] {
    if (verdict.isSound) {
        return [
            `history           sound: ${verdict.acknowledgedWriteCount} acknowledged writes,`
            + ` ${verdict.answeredReadCount} reads, ${verdict.unknownOutcomeCount} unknown outcomes`,
        ];
    }
    return [
        `history           VIOLATED: ${formatCounts(verdict.countByKind as Record<string, number>)}`,
        ...verdict.violations.map(violation => `  ${violation.kind}: ${violation.text}`),
    ];
}
