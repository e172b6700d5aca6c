import { comparePositions } from "../../statements/comparePositions/index.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";
import type { HistoryEvent } from "../types/HistoryEvent.js";
import { HistoryEventKind } from "../types/HistoryEventKind.js";

/** What callers of one group know. */
interface GroupHistory {
    /** Newest position that was acknowledged and is in the log of the endpoint that was promoted last. */
    acknowledged: LogPosition | undefined;
    leader: string | undefined;
}

/** A read that was sent. */
interface PendingRead {
    /** Position that the read has to see. */
    readonly required: LogPosition | undefined;
    /** Why the log on which the read ran lacks that position. */
    lack?: string;
}

/** Handles the events of each kind that matter. */
type HistoryHandlers = {
    readonly [Kind in HistoryEventKind]?: (event: Extract<HistoryEvent, { readonly kind: Kind; }>) => void;
};

/**
 * Finds the reads that a caller received although they ran on a log that lacked a commit which was acknowledged before the
 * read was sent. Commits that a promotion dropped do not count.
 *
 * @param history The events, in the order of execution.
 * @returns One description per read.
 *
 * @example
 * assert.deepEqual(findStaleReads(fleet.history), []);
 */
export function findStaleReads(history: readonly HistoryEvent[]): readonly string[] {
    const groups = new Map<string, GroupHistory>();
    const commits = new Map<string, Extract<HistoryEvent, { readonly kind: HistoryEventKind.Commit; }>>();
    const reads = new Map<string, PendingRead>();
    const findings: string[] = [];

    function historyOf(group: string): GroupHistory {
        const known = groups.get(group) ?? { acknowledged: undefined, leader: undefined };
        groups.set(group, known);
        return known;
    }

    const handlers: HistoryHandlers = {
        [HistoryEventKind.Promotion]: ({ group, endpointId, position }) => {
            const known = historyOf(group);
            known.leader = endpointId;
            known.acknowledged = chooseOlder(known.acknowledged, position);
        },
        [HistoryEventKind.Commit]: event => commits.set(event.writeId, event),
        [HistoryEventKind.Acknowledgement]: ({ group, writeId }) => {
            const commit = commits.get(writeId);
            const known = historyOf(group);
            if (commit !== undefined && commit.endpointId === known.leader) {
                known.acknowledged = chooseNewer(known.acknowledged, commit.position);
            }
        },
        [HistoryEventKind.ReadRequest]: ({ group, readId }) => {
            reads.set(readId, { required: historyOf(group).acknowledged });
        },
        [HistoryEventKind.Read]: ({ at, group, endpointId, readId, position }) => {
            const read = reads.get(readId);
            // A promotion since may have dropped what the read had to see.
            const required = chooseOlder(read?.required, historyOf(group).acknowledged);
            if (read !== undefined && required !== undefined && comparePositions(position, required) < 0) {
                read.lack = `${readId} ran at ${endpointId} at ${at} ms, whose log ended at`
                    + ` ${describePosition(position)} and lacked ${describePosition(required)}`;
            }
        },
        [HistoryEventKind.ReadAnswer]: ({ readId }) => {
            const lack = reads.get(readId)?.lack;
            if (lack !== undefined) {
                findings.push(lack);
            }
        },
    };
    for (const event of history) {
        (handlers[event.kind] as ((handled: HistoryEvent) => void) | undefined)?.(event);
    }
    return findings;
}

function chooseOlder(left: LogPosition | undefined, right: LogPosition | undefined): LogPosition | undefined {
    return left === undefined || right === undefined || comparePositions(left, right) <= 0 ? left : right;
}

function chooseNewer(left: LogPosition | undefined, right: LogPosition): LogPosition {
    return left === undefined || comparePositions(left, right) < 0 ? right : left;
}

function describePosition({ term, entry }: LogPosition): string {
    return `${term}.${entry}`;
}
