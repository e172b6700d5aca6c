import { build, type Histogram } from "hdr-histogram-js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { RequestKind } from "../../messages/types/RequestKind.js";
import { StatementOperation } from "../../standIns/endpoint/types/StatementOperation.js";
import { startDataPlane } from "../../testing/startDataPlane/index.js";
import { benchmarkConstants } from "../constants.js";
import type { OverloadFigures } from "../types/OverloadFigures.js";

type DataPlane = Awaited<ReturnType<typeof startDataPlane>>;

/** Counts of the requests of one caller. */
interface CallerCounts {
    readonly caller: string;
    offered: number;
    answered: number;
    refused: number;
}

/**
 * Measures the answers of a gateway when the load exceeds the capacity of an endpoint, with and without admission.
 *
 * A greedy and a quiet caller offer an open-loop load of reads to one replica, all within this process.
 *
 * @returns The figures for each load and setting.
 *
 * @example
 * console.table(await measureOverload());
 */
export async function measureOverload(): Promise<OverloadFigures[]> {
    const figures: OverloadFigures[] = [];
    for (const isLimiting of [true, false]) {
        for (const loadFactor of benchmarkConstants.loadFactors) {
            figures.push(await measureLoad(isLimiting, loadFactor));
        }
    }
    return figures;
}

async function measureLoad(isLimiting: boolean, loadFactor: number): Promise<OverloadFigures> {
    const { slots, serviceMilliseconds, runMilliseconds, warmUpMilliseconds, quietShare } = benchmarkConstants;
    const plane = await startDataPlane({ endpoints: { slots, serviceMilliseconds }, isLimiting });
    const capacity = slots * 1_000 / serviceMilliseconds;
    const greedy: CallerCounts = { caller: "greedy", offered: 0, answered: 0, refused: 0 };
    const quiet: CallerCounts = { caller: "quiet", offered: 0, answered: 0, refused: 0 };
    const answers = build();
    const refusals = build();
    const running: Promise<void>[] = [];
    const startedAt = performance.now();
    let isMeasuring = false;

    async function send(counts: CallerCounts): Promise<void> {
        const isCounted = isMeasuring;
        const sentAt = performance.now();
        const outcome = await sendRead(plane, counts.caller);
        if (!isCounted) {
            return;
        }
        const elapsed = performance.now() - sentAt;
        counts.offered += 1;
        if (outcome === OutcomeKind.Answer && elapsed <= benchmarkConstants.deadlineMilliseconds) {
            counts.answered += 1;
            answers.recordValue(Math.ceil(elapsed));
        }
        else if (outcome === OutcomeKind.NotRun) {
            counts.refused += 1;
            refusals.recordValue(Math.ceil(elapsed));
        }
    }

    for (let sent = { greedy: 0, quiet: 0 }, elapsed = 0; elapsed < warmUpMilliseconds + runMilliseconds;) {
        isMeasuring = elapsed >= warmUpMilliseconds;
        const due = {
            greedy: elapsed * capacity * (loadFactor - quietShare) / 1_000,
            quiet: elapsed * capacity * quietShare / 1_000,
        };
        for (; sent.greedy < due.greedy; sent.greedy += 1) {
            running.push(send(greedy));
        }
        for (; sent.quiet < due.quiet; sent.quiet += 1) {
            running.push(send(quiet));
        }
        await new Promise(resolve => setTimeout(resolve, benchmarkConstants.sendIntervalMilliseconds));
        elapsed = performance.now() - startedAt;
    }
    await Promise.all(running);
    await plane.stop();
    return summarize({ isLimiting, loadFactor, greedy, quiet, answers, refusals });
}

async function sendRead(plane: DataPlane, caller: string): Promise<OutcomeKind> {
    const { outcome } = await plane.requests.execute({
        requestId: "read",
        database: "stock",
        endpoint: "stock-2",
        kind: RequestKind.Read,
        statement: { operation: StatementOperation.Get, register: "stock" },
        term: 1,
        leastPosition: 0,
        waitMilliseconds: 0,
        caller,
        timeLeftMilliseconds: benchmarkConstants.deadlineMilliseconds,
    });
    return outcome;
}

/** Counts and latencies of one run. */
interface OverloadCounts {
    readonly isLimiting: boolean;
    readonly loadFactor: number;
    readonly greedy: CallerCounts;
    readonly quiet: CallerCounts;
    readonly answers: Histogram;
    readonly refusals: Histogram;
}

function summarize(counts: OverloadCounts): OverloadFigures {
    const { isLimiting, loadFactor, greedy, quiet, answers, refusals } = counts;
    const seconds = benchmarkConstants.runMilliseconds / 1_000;
    const offered = greedy.offered + quiet.offered;
    const refused = greedy.refused + quiet.refused;
    const lost = offered - refused - greedy.answered - quiet.answered;
    return {
        isLimiting,
        loadFactor,
        offeredPerSecond: Math.round(offered / seconds),
        goodputPerSecond: Math.round((greedy.answered + quiet.answered) / seconds),
        quietAnsweredShare: quiet.answered / quiet.offered,
        refusedShare: refused / offered,
        lostShare: lost / offered,
        answerP50Milliseconds: answers.getValueAtPercentile(50),
        answerP99Milliseconds: answers.getValueAtPercentile(99),
        refusalP50Milliseconds: refusals.getValueAtPercentile(50),
    };
}
