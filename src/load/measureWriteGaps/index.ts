import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { loadConstants } from "../constants.js";
import type { LoadFault } from "../types/LoadFault.js";
import type { LoadRun } from "../types/LoadRun.js";
import type { WriteGap } from "../types/WriteGap.js";

/**
 * Measures the longest interval without an acknowledged write of each database.
 *
 * @param run A finished run.
 * @returns One gap of the whole run for each database, then one for each fault and each database that it affects.
 *
 * @example
 * const [gap] = measureWriteGaps(run);
 */
export function measureWriteGaps(run: LoadRun): WriteGap[] {
    const times = new Map<string, number[]>();
    for (const operation of run.operations) {
        const list = times.get(operation.database) ?? [];
        times.set(operation.database, list);
        if (operation.value !== undefined && operation.outcome === OutcomeKind.Answer) {
            list.push(operation.completedAt);
        }
    }
    const databases = [...times.keys()].sort();
    const overall = databases.map(database => measureGap(run, database, times.get(database) ?? []));
    const around = run.faults.flatMap(fault =>
        databases
            .filter(database => fault.database === undefined || fault.database === database)
            .map(database => measureGap(run, database, times.get(database) ?? [], fault))
    );
    return [...overall, ...around];
}

function measureGap(run: LoadRun, database: string, acknowledgedAt: readonly number[], fault?: LoadFault): WriteGap {
    const windowStart = fault?.at ?? run.startedAt;
    const windowEnd = fault === undefined ? run.endedAt : fault.at + loadConstants.faultWindowMilliseconds;
    const times = [...acknowledgedAt].sort((left, right) => left - right);
    let longest: WriteGap = { database, fault: fault?.text, milliseconds: 0, from: 0, isOver: true };
    let previous = run.startedAt;
    for (const time of [...times, run.endedAt]) {
        const isInWindow = time >= windowStart && previous <= windowEnd;
        if (isInWindow && time - previous > longest.milliseconds) {
            longest = {
                ...longest,
                milliseconds: time - previous,
                from: previous - run.startedAt,
                isOver: time !== run.endedAt,
            };
        }
        previous = time;
    }
    return longest;
}
