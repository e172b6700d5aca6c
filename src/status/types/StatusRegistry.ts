import type { StatusReport } from "./StatusReport.js";

/** The status of this process, and of the entries that push theirs to it. */
export interface StatusRegistry {
    createReport(): StatusReport;
    /** Reports that entries pushed and that are not outdated. */
    listEntryReports(): readonly StatusReport[];
    /** Records the report of an entry; returns whether a graceful stop of that entry was requested. */
    recordEntryReport(report: StatusReport): boolean;
    /** Requests a graceful stop of this process or of an entry that reports to it; returns false for any other name. */
    drain(process: string): boolean;
}
