import type { StatusReport } from "./StatusReport.js";

/** Status of this process and of the entries that push their reports to it. */
export interface StatusBoard {
    /** Creates the status report of this process. */
    report(): StatusReport;
    /** Lists the reports of entries that are not outdated. */
    entries(): readonly StatusReport[];
    /** Records the report of an entry; returns whether a graceful stop of that entry was requested. */
    noteEntry(report: StatusReport): boolean;
    /** Requests a graceful stop of this process or of an entry that reports to it; returns false for any other name. */
    drain(process: string): boolean;
}
