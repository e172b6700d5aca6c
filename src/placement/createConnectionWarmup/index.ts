import type { Clock } from "../../clock/types/Clock.js";
import { placementConstants } from "../constants.js";
import type { EndpointSessionPool } from "../types/EndpointSessionPool.js";

/** The pools of one group's endpoints. */
interface WarmGroup {
    readonly pools: readonly Pick<EndpointSessionPool, "openCount" | "tryOpenAhead">[];
    /** Whether statements wait for connections; these are opened first. */
    readonly hasWaiting: boolean;
    /** The workspaces whose sessions this VM serves, the largest first. */
    readonly listWorkspaces: () => readonly string[];
}

/**
 * Creates the opening of connections ahead of the first statement of each workspace, while there is room.
 *
 * The first statements of many workspaces come at the same moment when callers start or return, and each would wait for
 * a connection of its own. Connections of others are never closed for this.
 *
 * @param clock Source of time.
 * @param listGroups Returns the groups whose connections this VM holds.
 * @returns Schedules the next pass, unless it is scheduled already; passes go on as long as they open connections.
 *
 * @example
 * const scheduleWarmup = createConnectionWarmup(clock, listWarmGroups);
 * directory.onChange(scheduleWarmup);
 */
export function createConnectionWarmup(clock: Clock, listGroups: () => readonly WarmGroup[]): () => void {
    let isScheduled = false;

    function pass(): void {
        isScheduled = false;
        const opened = listGroups().filter(({ hasWaiting }) => !hasWaiting).map(warmGroup);
        if (opened.some(Boolean)) {
            schedule();
        }
    }

    /** Opens one connection of each pool; returns whether there was any to open. */
    function warmGroup({ pools, listWorkspaces }: WarmGroup): boolean {
        const workspaces = listWorkspaces();
        const opened = pools.map(pool => {
            const missing = workspaces.find(workspace => pool.openCount(workspace) === 0);
            return missing !== undefined && pool.tryOpenAhead(missing);
        });
        return opened.some(Boolean);
    }

    function schedule(): void {
        if (!isScheduled) {
            isScheduled = true;
            clock.startTimer(placementConstants.warmupMilliseconds, pass);
        }
    }

    return schedule;
}
