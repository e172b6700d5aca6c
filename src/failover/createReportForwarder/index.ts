import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { failoverConstants } from "../constants.js";
import type { FailoverDependencies } from "../types/FailoverDependencies.js";
import type { FailoverRouter } from "../types/FailoverRouter.js";
import type { Suspicion } from "../types/Suspicion.js";

/** Options of `createReportForwarder`. */
interface ReportForwarderOptions {
    readonly coordinatorsOf: (database: string) => readonly PeerRecord[];
    /** Takes in a report when this gateway is one of the coordinators. */
    readonly takeReport: (suspicion: Suspicion) => void;
}

/**
 * Creates the function that passes suspicions on to the coordinators of their database.
 *
 * Reports of one endpoint within a short time are passed on once.
 *
 * @param dependencies Services that it uses.
 * @param options Who coordinates a database, and what to do when it is this gateway.
 * @returns The function; it returns at once.
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
        const lastAt = forwardedAt.get(suspicion.endpoint) ?? -Infinity;
        if (clock.now() - lastAt < failoverConstants.reportIntervalMilliseconds) {
            return;
        }
        const coordinators = options.coordinatorsOf(suspicion.database);
        if (coordinators.length > 0) {
            forwardedAt.set(suspicion.endpoint, clock.now());
        }
        for (const coordinator of coordinators) {
            if (coordinator.name === membership.self.name) {
                options.takeReport(suspicion);
            }
            else {
                send(coordinator, suspicion);
            }
        }
    };
}
