import type { EndpointRecord } from "../types/EndpointRecord.js";

/** What orders the reports of an endpoint, whichever state the store is in. */
type Report = Pick<EndpointRecord, "startedAt" | "reportNumber">;

/**
 * Compares two reports of one endpoint, in the endpoint's own order: by its start, then by the number of the report.
 *
 * @param left A report.
 * @param right Another report of the same endpoint.
 * @returns A positive number if `left` is newer, a negative number if it is older, 0 if they are the same.
 *
 * @example
 * const isOlder = compareReports(record, known) < 0;
 */
export function compareReports(left: Report, right: Report): number {
    return left.startedAt - right.startedAt || left.reportNumber - right.reportNumber;
}
