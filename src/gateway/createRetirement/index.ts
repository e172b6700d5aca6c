import type { Service } from "../../kernel/types/Service.js";
import type { MembershipService } from "../../membership/types/MembershipService.js";
import type { EndpointRequests } from "../../requests/types/EndpointRequests.js";
import type { Transactions } from "../../transactions/types/Transactions.js";

/**
 * Creates the first step of a gateway's graceful stop: it tells its peers, takes nothing new and finishes what is under
 * way, while it still answers other processes.
 *
 * @param membership Tells the peers.
 * @param requests Requests under way.
 * @param transactions Transactions under way.
 * @returns The service; it has to depend on the transport server, so as to be stopped before it.
 *
 * @example
 * const retirement = createRetirement(membership, requests, transactions);
 */
export function createRetirement(
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
