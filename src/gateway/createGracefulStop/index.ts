import type { Service } from "../../kernel/types/Service.js";
import type { MembershipService } from "../../membership/types/MembershipService.js";
import type { EndpointRequests } from "../../requests/types/EndpointRequests.js";
import type { Transactions } from "../../transactions/types/Transactions.js";

/**
 * Creates the service that drains a gateway at the start of its graceful stop.
 *
 * It notifies the peers, refuses new work and waits for the work in flight, while the gateway still answers other
 * processes.
 *
 * @param membership Notifies the peers.
 * @param requests Requests in flight.
 * @param transactions Transactions in flight.
 * @returns The service; it must depend on the transport server in order to be stopped before it.
 *
 * @example
 * const gracefulStop = createGracefulStop(membership, requests, transactions);
 */
export function createGracefulStop(
    membership: MembershipService,
    requests: EndpointRequests,
    transactions: Transactions,
): Service {
    async function stop(): Promise<void> {
        await membership.leave();
        await Promise.all([requests.stop(), transactions.stop()]);
    }

    return { stop };
}
