import type { ConnectionFailure } from "../../connections/types/ConnectionFailure.js";
import { ConnectionFailureKind } from "../../connections/types/ConnectionFailureKind.js";
import type { EndpointConnections } from "../../connections/types/EndpointConnections.js";
import type { Service } from "../../kernel/types/Service.js";
import type { TopologyService } from "../../topology/types/TopologyService.js";
import type { FailoverService } from "../types/FailoverService.js";
import { SuspicionReason } from "../types/SuspicionReason.js";

/** Kinds of connection failures that don't indicate a failed endpoint are left out. */
const reasons: Partial<Record<ConnectionFailureKind, SuspicionReason>> = {
    [ConnectionFailureKind.AnswerTimeout]: SuspicionReason.Silent,
    [ConnectionFailureKind.ConnectionLost]: SuspicionReason.ConnectionLost,
    [ConnectionFailureKind.Unreachable]: SuspicionReason.ConnectionLost,
};

/**
 * Creates the service that reports failures of a primary's connections to the coordinators of its group.
 *
 * @param connections Source of connection failures.
 * @param topology Source of the known primary and term of each group.
 * @param failover Receives the reports.
 * @returns The service.
 *
 * @example
 * const reports = createSuspicionReports(connections, topology, failover);
 */
export function createSuspicionReports(
    connections: EndpointConnections,
    topology: TopologyService,
    failover: FailoverService,
): Service {
    let stopListening = (): void => {};

    function report({ database, endpoint, kind }: ConnectionFailure): void {
        const group = topology.groupOf(database);
        const reason = reasons[kind];
        if (group?.primary === endpoint && reason !== undefined) {
            failover.reportSuspicion({ database, endpoint, term: group.term, reason });
        }
    }

    async function start(): Promise<void> {
        stopListening = connections.onConnectionFailure(report);
    }

    return { start, stop: async () => stopListening() };
}
