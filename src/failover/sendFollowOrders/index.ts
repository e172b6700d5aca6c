import { failoverConstants } from "../constants.js";
import type { CoordinatedGroup } from "../types/CoordinatedGroup.js";

/** A term, its primary and the endpoints that are ordered to follow it. */
interface FollowOrder {
    readonly term: number;
    readonly primary: string;
    readonly endpoints: readonly string[];
}

/**
 * Orders endpoints to follow the primary of a term.
 *
 * A failed order is only logged: the coordinator repeats it when the endpoint answers again.
 *
 * @param group The group.
 * @param order The term, its primary and the endpoints that shall follow.
 *
 * @example
 * await sendFollowOrders(group, { term: 5, primary: "stock-2", endpoints: ["stock-1", "stock-3"] });
 */
export async function sendFollowOrders(group: CoordinatedGroup, order: FollowOrder): Promise<void> {
    const { term, primary } = order;
    const log = group.dependencies.logger.topic("failover");
    await Promise.all(order.endpoints.map(async endpoint => {
        try {
            await group.probes.get(endpoint)?.withConnection(connection =>
                connection.follow(term, primary, failoverConstants.callTimeoutMilliseconds)
            );
        }
        catch (error) {
            log("order to follow the primary failed; the order is repeated when the endpoint answers", {
                endpoint,
                term,
                primary,
                error: String(error),
            });
        }
    }));
}
