import { failoverConstants } from "../constants.js";
import type { CoordinatedGroup } from "../types/CoordinatedGroup.js";

/** Whom to follow, and who shall. */
interface FollowOrder {
    readonly term: number;
    readonly primary: string;
    readonly endpoints: readonly string[];
}

/**
 * Tells endpoints to follow the primary of a term.
 *
 * An endpoint that can't be told now is told again by the coordinator when it answers.
 *
 * @param group The group.
 * @param order The term, its primary and the endpoints to tell.
 *
 * @example
 * await tellToFollow(group, { term: 5, primary: "stock-2", endpoints: ["stock-1", "stock-3"] });
 */
export async function tellToFollow(group: CoordinatedGroup, order: FollowOrder): Promise<void> {
    const { term, primary } = order;
    const log = group.dependencies.logger.topic("failover");
    await Promise.all(order.endpoints.map(async endpoint => {
        try {
            await group.probes.get(endpoint)?.use(connection =>
                connection.follow(term, primary, failoverConstants.callTimeoutMilliseconds)
            );
        }
        catch (error) {
            log("endpoint not told to follow", { endpoint, term, primary, error: String(error) });
        }
    }));
}
