import type { StatusReport } from "../../status/types/StatusReport.js";
import { describeVersionProgress } from "../describeVersionProgress/index.js";
import { formatTable } from "../formatTable/index.js";
import type { FleetStatus } from "../types/FleetStatus.js";

/**
 * Formats a summary of the fleet.
 *
 * @param status Status of the fleet.
 * @returns Lines: the configuration, processes, groups, endpoints leaving, replica share and failovers in progress.
 *
 * @example
 * control.write(formatStatus(status).join("\n"));
 */
export function formatStatus(status: FleetStatus): string[] {
    const { reports } = status;
    const version = Math.max(0, ...reports.map(report => report.version));
    const leaving = [...new Set(reports.flatMap(report => report.leavingEndpoints))].sort();
    const gaps = listGaps(reports);
    return [
        describeVersionProgress(status, version).line,
        "",
        ...formatTable(["PROCESS", "KIND", "AVAILABILITY ZONE", "STATE", "VERSION"], listProcesses(status)),
        "",
        ...formatTable(["DATABASE", "TERM", "PRIMARY", "COORDINATOR"], listGroups(reports)),
        "",
        `Endpoints leaving: ${leaving.length === 0 ? "none" : leaving.join(", ")}`,
        `Reads served by replicas: ${describeReads(reports)}`,
        `Failover gaps running: ${gaps.length === 0 ? "none" : gaps.join(", ")}`,
    ];
}

function listProcesses(status: FleetStatus): string[][] {
    const stateByName = new Map(status.gateways.map(gateway => [gateway.name, String(gateway.state)]));
    const answered = status.reports.map(report => [
        report.process,
        report.kind,
        report.availabilityZone,
        report.isStopping ? "Stopping" : stateByName.get(report.process) ?? "Live",
        String(report.version),
    ]);
    const unresponsive = status.silentGateways.map(({ name, availabilityZone, state }) => [
        name,
        "Gateway",
        availabilityZone,
        `${state}, no answer`,
        "unknown",
    ]);
    return [...answered, ...unresponsive].sort(compareRows);
}

function listGroups(reports: readonly StatusReport[]): string[][] {
    const groups = reports.flatMap(report => report.groups);
    const databases = [...new Set(groups.map(group => group.database))].sort();
    return databases.map(database => {
        const reported = groups.filter(group => group.database === database).sort((a, b) => b.term - a.term);
        const { term, primary } = reported[0] as (typeof groups)[number];
        const coordinators = reported.flatMap(group => group.coordinator ?? []);
        return [database, String(term), primary, coordinators.join(", ") || "unknown"];
    });
}

function describeReads(reports: readonly StatusReport[]): string {
    const replicaReads = reports.reduce((sum, report) => sum + report.replicaReads, 0);
    const allReads = reports.reduce((sum, report) => sum + report.primaryReads, replicaReads);
    return allReads === 0 ? "no reads yet" : `${(replicaReads / allReads * 100).toFixed(1)}% of ${allReads}`;
}

/** For each database the longest failover gap that any process reports. */
function listGaps(reports: readonly StatusReport[]): string[] {
    const longest = new Map<string, number>();
    for (const { database, milliseconds } of reports.flatMap(report => report.failoverGaps)) {
        longest.set(database, Math.max(longest.get(database) ?? 0, milliseconds));
    }
    return [...longest].map(([database, milliseconds]) => `${database} ${milliseconds} ms`).sort();
}

function compareRows(left: readonly string[], right: readonly string[]): number {
    return (left[0] ?? "").localeCompare(right[0] ?? "");
}
