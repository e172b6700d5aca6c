import type { SimulatedEndpoint } from "../types/SimulatedEndpoint.js";
import type { SimulatedNetwork } from "../types/SimulatedNetwork.js";

/** Time after which a superseded primary that reaches its successor follows it, in milliseconds. */
const followMilliseconds = 1_000;

/**
 * Lets the replicas of one group receive the log of the newest primary that they reach, and a superseded primary follow
 * its successor.
 *
 * @param members The endpoints of the group.
 * @param network The links between them.
 * @param now Time of the simulation, in milliseconds.
 *
 * @example
 * replicateLogs(members, network, clock.now());
 */
export function replicateLogs(members: readonly SimulatedEndpoint[], network: SimulatedNetwork, now: number): void {
    for (const endpoint of members.filter(({ isRunning }) => isRunning)) {
        const primary = members
            .filter(other => other !== endpoint && other.isRunning && other.isPrimary)
            .filter(other => network.isConnected(other.id, endpoint.id))
            .sort((left, right) => right.term - left.term)[0];
        if (endpoint.isPrimary) {
            stepDownIfSuperseded(endpoint, primary, now);
        }
        else if (primary !== undefined && primary.term >= endpoint.term && endpoint.heldTerm === 0) {
            endpoint.term = primary.term;
            endpoint.position = primary.position;
        }
    }
}

function stepDownIfSuperseded(
    endpoint: SimulatedEndpoint,
    primary: SimulatedEndpoint | undefined,
    now: number,
): void {
    if (primary === undefined || primary.term <= endpoint.term) {
        endpoint.reachesSuccessorSince = undefined;
        return;
    }
    endpoint.reachesSuccessorSince ??= now;
    if (now - endpoint.reachesSuccessorSince >= followMilliseconds) {
        endpoint.isPrimary = false;
        endpoint.reachesSuccessorSince = undefined;
    }
}
