import type { StatusReport } from "./StatusReport.js";

/** The status of this process, and of the entries that push theirs to it. */
export interface StatusBoard {
    report(): StatusReport;
    /** Reports that entries pushed and that are not outdated. */
    entries(): readonly StatusReport[];
    /** Takes in an entry's report; returns whether the entry was asked to stop. */
    noteEntry(report: StatusReport): boolean;
    /** Asks this process, or an entry that reports to it, for a graceful stop; returns whether it knows that process. */
    drain(process: string): boolean;
}
