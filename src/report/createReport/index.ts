import { formatLoadSummary } from "../../load/formatLoadSummary/index.js";
import type { LoadOutcome } from "../../load/types/LoadOutcome.js";
import type { WriteGap } from "../../load/types/WriteGap.js";
import { bucketOperations } from "../bucketOperations/index.js";
import { reportConstants } from "../constants.js";
import { drawLineChart } from "../drawLineChart/index.js";
import { escapeMarkup } from "../escapeMarkup/index.js";
import type { LoadBucket } from "../types/LoadBucket.js";

const style = "body{font:14px sans-serif;max-width:980px;margin:2em auto}svg{width:100%}svg text{font-size:11px}"
    + "svg .title{font-size:13px;font-weight:bold}.grid{stroke:#ddd}.mark{stroke:#c22;stroke-dasharray:4 3}"
    + "polyline{stroke-width:1.5}pre{background:#f6f6f6;padding:1em;overflow:auto}";

/**
 * Creates a self-contained HTML page about a run: latency, replica share and acknowledged writes over time, with marks
 * at the faults and the longest write gaps, and the verdict on the history.
 *
 * @param outcome The run with its figures and the verdict on its history.
 * @returns The page.
 *
 * @example
 * await writeFile("report.html", createReport(outcome));
 */
export function createReport({ run, summary, verdict }: LoadOutcome): string {
    const { millisecondsPerSecond } = reportConstants;
    const buckets = bucketOperations(run);
    const { seconds } = summary;
    const marks = run.faults.map(fault => ({
        seconds: (fault.at - run.startedAt) / millisecondsPerSecond,
        text: fault.text,
    }));
    const createSeries = (name: string, color: string, valueOf: (bucket: LoadBucket) => number | undefined) => ({
        name,
        color,
        points: buckets.flatMap(bucket => {
            const y = valueOf(bucket);
            return y === undefined ? [] : [{ x: bucket.seconds, y }];
        }),
    });
    const latency = [
        createSeries("p50", "#176", bucket => bucket.p50),
        createSeries("p99", "#b50", bucket => bucket.p99),
    ];
    const share = [createSeries("replica share", "#158", bucket => bucket.replicaSharePercent)];
    const writes = [
        createSeries("acknowledged", "#517", bucket => bucket.acknowledgedWrites),
        ...summary.writeGaps.filter(gap => gap.fault === undefined).map(createGapSeries),
    ];
    return [
        "<!doctype html>",
        `<html lang="en"><head><meta charset="utf-8"><title>Load report</title><style>${style}</style></head><body>`,
        `<h1>Load report: history ${verdict.isSound ? "sound" : "violated"}</h1>`,
        drawLineChart(latency, { title: "Latency of answers in ms", seconds, marks }),
        drawLineChart(share, { title: "Reads served by replicas in %", seconds, marks }),
        drawLineChart(writes, { title: "Acknowledged writes per interval; longest write gaps", seconds, marks }),
        `<pre>${escapeMarkup(formatLoadSummary(summary, verdict))}</pre>`,
        "</body></html>",
        "",
    ].join("\n");
}

/** Creates a line along the bottom of the chart that shows a write gap. */
function createGapSeries(gap: WriteGap) {
    const from = gap.from / reportConstants.millisecondsPerSecond;
    const to = from + gap.milliseconds / reportConstants.millisecondsPerSecond;
    return { name: `gap ${gap.database}`, color: "#c22", points: [{ x: from, y: 0 }, { x: to, y: 0 }] };
}
