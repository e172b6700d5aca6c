import type { ConnectionFailure } from "../../connections/types/ConnectionFailure.js";
import { ConnectionFailureKind } from "../../connections/types/ConnectionFailureKind.js";
import type { EndpointConnections } from "../../connections/types/EndpointConnections.js";
import type { Service } from "../../kernel/types/Service.js";
import type { TopologyService } from "../../topology/types/TopologyService.js";
import type { FailoverService } from "../types/FailoverService.js";
import { SuspicionReason } from "../types/SuspicionReason.js";

/** Troubles that say nothing about the endpoint's health are left out. */
const reasons: Partial<Record<ConnectionFailureKind, SuspicionReason>> = {
    [ConnectionFailureKind.AnswerTimeout]: SuspicionReason.Silent,
    [ConnectionFailureKind.ConnectionLost]: SuspicionReason.ConnectionLost,
    [ConnectionFailureKind.Unreachable]: SuspicionReason.ConnectionLost,
};

/**
 * Creates the service that reports trouble with a primary's connections to its group's coordinator.
 *
 * @param connections Where trouble shows.
 * @param topology Knows which endpoint is primary of which term.
 * @param failover Passes the report on.
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
