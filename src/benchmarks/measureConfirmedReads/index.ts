import { build } from "hdr-histogram-js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { RequestKind } from "../../messages/types/RequestKind.js";
import { StatementOperation } from "../../standIns/endpoint/types/StatementOperation.js";
import { startDataPlane } from "../../testing/startDataPlane/index.js";
import { benchmarkConstants } from "../constants.js";
import type { ConfirmedReadFigures } from "../types/ConfirmedReadFigures.js";

/**
 * Measures the latency of reads at a primary, with and without waiting until their position is confirmed.
 *
 * One reader reads in a closed loop while one writer writes with short pauses, all within this process.
 *
 * @returns The figures for each replication lag and setting.
 *
 * @example
 * console.table(await measureConfirmedReads());
 */
export async function measureConfirmedReads(): Promise<ConfirmedReadFigures[]> {
    const figures: ConfirmedReadFigures[] = [];
    for (const replicationLagMilliseconds of benchmarkConstants.replicationLagsMilliseconds) {
        for (const isConfirmed of [true, false]) {
            figures.push(await measureReads(isConfirmed, replicationLagMilliseconds));
        }
    }
    return figures;
}

async function measureReads(isConfirmed: boolean, replicationLagMilliseconds: number): Promise<ConfirmedReadFigures> {
    const plane = await startDataPlane({ confirmsPrimaryReads: isConfirmed });
    for (const name of ["stock-2", "stock-3"]) {
        plane.group.endpoints[name]!.core.switches.set({ replicationLagMilliseconds });
    }
    const latencies = build();
    const shared = {
        requestId: "request",
        database: "stock",
        endpoint: "stock-1",
        term: 1,
        leastPosition: 0,
        waitMilliseconds: 0,
        timeLeftMilliseconds: 2_000,
    };
    let hasEnded = false;

    async function write(): Promise<void> {
        const statement = { operation: StatementOperation.Add, register: "stock", amount: 1 };
        while (!hasEnded) {
            await plane.requests.execute({ ...shared, kind: RequestKind.Write, statement, caller: "writer" });
            await plane.clock.sleep(benchmarkConstants.writePauseMilliseconds);
        }
    }

    const writing = write();
    const statement = { operation: StatementOperation.Get, register: "stock" };
    for (let read = 0; read < benchmarkConstants.readCount; read += 1) {
        const startedAt = plane.clock.now();
        const reply = await plane.requests.execute({ ...shared, kind: RequestKind.Read, statement, caller: "reader" });
        if (reply.outcome === OutcomeKind.Answer) {
            latencies.recordValue(Math.round((plane.clock.now() - startedAt) * 1_000));
        }
    }
    hasEnded = true;
    await writing;
    await plane.stop();
    return {
        isConfirmed,
        replicationLagMilliseconds,
        reads: latencies.totalCount,
        readP50Milliseconds: latencies.getValueAtPercentile(50) / 1_000,
        readP99Milliseconds: latencies.getValueAtPercentile(99) / 1_000,
    };
}
