import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { failoverConstants } from "../constants.js";
import type { FailoverDependencies } from "../types/FailoverDependencies.js";
import type { FailoverRouter } from "../types/FailoverRouter.js";
import type { Suspicion } from "../types/Suspicion.js";

/** Options of `createReportForwarder`. */
interface ReportForwarderOptions {
    readonly coordinatorsOf: (database: string) => readonly PeerRecord[];
    /** Handles a report when this gateway is one of the coordinators. */
    readonly handleSuspicion: (suspicion: Suspicion) => void;
}

/**
 * Creates the function that forwards suspicions to the coordinators of their database.
 *
 * Of several reports about one endpoint within the report interval, only the first is forwarded.
 *
 * @param dependencies Services that it uses.
 * @param options Coordinators of a database, and the handler of reports for which this gateway is a coordinator.
 * @returns The function; it does not wait for the coordinators.
 *
 * @example
 * forward({ database: "stock", endpoint: "stock-1", term: 4, reason: SuspicionReason.ConnectionLost });
 */
export function createReportForwarder(
    dependencies: Pick<FailoverDependencies, "membership" | "peers" | "clock">,
    options: ReportForwarderOptions,
): (suspicion: Suspicion) => void {
    const { membership, peers, clock } = dependencies;
    const forwardedAt = new Map<string, number>();

    function send(coordinator: PeerRecord, suspicion: Suspicion): void {
        const signal = AbortSignal.timeout(failoverConstants.peerCallTimeoutMilliseconds);
        const client = peers.clientOf<FailoverRouter>(coordinator).failover;
        // A lost report is not repeated: the coordinator probes the primary itself.
        client.report.mutate({ ...suspicion, isForwarded: true }, { signal }).catch(() => {});
    }

    return suspicion => {
        const lastForwardedAt = forwardedAt.get(suspicion.endpoint) ?? -Infinity;
        if (clock.now() - lastForwardedAt < failoverConstants.reportIntervalMilliseconds) {
            return;
        }
        const coordinators = options.coordinatorsOf(suspicion.database);
        if (coordinators.length > 0) {
            forwardedAt.set(suspicion.endpoint, clock.now());
        }
        for (const coordinator of coordinators) {
            if (coordinator.name === membership.self.name) {
                options.handleSuspicion(suspicion);
            }
            else {
                send(coordinator, suspicion);
            }
        }
    };
}
