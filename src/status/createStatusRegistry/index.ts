import type { Clock } from "../../clock/types/Clock.js";
import { statusConstants } from "../constants.js";
import type { StatusProvider } from "../types/StatusProvider.js";
import type { StatusRegistry } from "../types/StatusRegistry.js";
import type { StatusReport } from "../types/StatusReport.js";

/** Options of `createStatusRegistry`. */
interface StatusRegistryOptions extends Pick<StatusReport, "process" | "kind" | "availabilityZone"> {
    /** Contributions of the services of this process; a later provider overrides the fields of an earlier one. */
    readonly providers: readonly StatusProvider[];
    readonly clock: Clock;
    /** Starts the graceful stop of this process. */
    readonly requestStop: () => void;
}

/** The last report of an entry. */
interface ReceivedReport {
    readonly report: StatusReport;
    readonly receivedAt: number;
}

/**
 * Creates the status registry of one process.
 *
 * @param options Identity of this process, and the providers of its report.
 * @returns The registry.
 *
 * @example
 * const registry = createStatusRegistry({ process: "vm-1-gateway", kind, availabilityZone, providers, clock, requestStop });
 */
export function createStatusRegistry(options: StatusRegistryOptions): StatusRegistry {
    const { process, kind, availabilityZone, clock } = options;
    const reportByEntry = new Map<string, ReceivedReport>();
    const draining = new Set<string>();

    function createReport(): StatusReport {
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

    function removeOutdatedReports(): void {
        for (const [name, received] of reportByEntry) {
            if (clock.now() - received.receivedAt > statusConstants.maximumReportAgeMilliseconds) {
                reportByEntry.delete(name);
                draining.delete(name);
            }
        }
    }

    function recordEntryReport(entry: StatusReport): boolean {
        reportByEntry.set(entry.process, { report: entry, receivedAt: clock.now() });
        return draining.has(entry.process);
    }

    function drain(name: string): boolean {
        removeOutdatedReports();
        if (name === process) {
            options.requestStop();
            return true;
        }
        if (reportByEntry.has(name)) {
            draining.add(name);
            return true;
        }
        return false;
    }

    function listEntryReports(): readonly StatusReport[] {
        removeOutdatedReports();
        return [...reportByEntry.values()].map(received => received.report);
    }

    return {
        createReport,
        listEntryReports,
        recordEntryReport,
        drain,
    };
}
