import type { Clock } from "../../clock/types/Clock.js";
import { statusConstants } from "../constants.js";
import type { StatusBoard } from "../types/StatusBoard.js";
import type { StatusProvider } from "../types/StatusProvider.js";
import type { StatusReport } from "../types/StatusReport.js";

/** Options of `createStatusBoard`. */
interface StatusBoardOptions extends Pick<StatusReport, "process" | "kind" | "availabilityZone"> {
    /** What the services of this process contribute; of two that give the same field the later one counts. */
    readonly providers: readonly StatusProvider[];
    readonly clock: Clock;
    /** Begins the graceful stop of this process. */
    readonly requestStop: () => void;
}

/** An entry's last report. */
interface EntryNote {
    readonly report: StatusReport;
    readonly heardAt: number;
}

/**
 * Creates the status board of one process.
 *
 * @param options Who this process is, and the providers of its report.
 * @returns The board.
 *
 * @example
 * const board = createStatusBoard({ process: "vm-1-gateway", kind, availabilityZone, providers, clock, requestStop });
 */
export function createStatusBoard(options: StatusBoardOptions): StatusBoard {
    const { process, kind, availabilityZone, clock } = options;
    const notes = new Map<string, EntryNote>();
    const draining = new Set<string>();

    function report(): StatusReport {
        const contributions = options.providers.map(provide => provide());
        return Object.assign({
            process,
            kind,
            availabilityZone,
            isStopping: false,
            version: 0,
            gateways: [],
            groups: [],
            leavingEndpoints: [],
            failoverGaps: [],
            replicaReads: 0,
            primaryReads: 0,
        }, ...contributions) as StatusReport;
    }

    function dropOutdated(): void {
        for (const [name, note] of notes) {
            if (clock.now() - note.heardAt > statusConstants.outdatedMilliseconds) {
                notes.delete(name);
                draining.delete(name);
            }
        }
    }

    function noteEntry(entry: StatusReport): boolean {
        notes.set(entry.process, { report: entry, heardAt: clock.now() });
        return draining.has(entry.process);
    }

    function drain(name: string): boolean {
        dropOutdated();
        if (name === process) {
            options.requestStop();
            return true;
        }
        if (notes.has(name)) {
            draining.add(name);
            return true;
        }
        return false;
    }

    function entries(): readonly StatusReport[] {
        dropOutdated();
        return [...notes.values()].map(note => note.report);
    }

    return { report, entries, noteEntry, drain };
}
