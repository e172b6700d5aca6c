import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import { failoverConstants } from "../constants.js";
import { isHeldByMajority } from "../isHeldByMajority/index.js";
import type { CoordinatedGroup } from "../types/CoordinatedGroup.js";
import type { EndpointProbe } from "../types/EndpointProbe.js";

/** A marker entry and the primary that wrote it. */
interface Marker {
    readonly term: number;
    readonly position: number;
    readonly primary: string;
    /** An endpoint that must hold the marker, in addition to a majority. */
    readonly requiredHolder?: string;
}

/**
 * Waits until a marker is held by a majority that serves its term.
 *
 * The timeout restarts while a replica that is far behind still copies the log.
 *
 * @param group The group.
 * @param marker The marker, its primary and optionally an endpoint that must hold it.
 * @returns True when the marker is confirmed; false at the timeout, or when no endpoint can be watched any more.
 *
 * @example
 * const isSafe = await confirmMarker(group, { term: 5, position: 121, primary: "stock-2" });
 */
export async function confirmMarker(group: CoordinatedGroup, marker: Marker): Promise<boolean> {
    const done = new AbortController();
    const primaryStatus = { role: EndpointRole.Primary, term: marker.term, position: marker.position };
    const statuses = new Map<string, Pick<EndpointStatus, "role" | "term" | "position">>();
    statuses.set(marker.primary, primaryStatus);
    let isHeld = false;

    function recordStatus(status: EndpointStatus): void {
        statuses.set(status.endpoint, status);
        const { requiredHolder } = marker;
        const required = requiredHolder === undefined ? primaryStatus : statuses.get(requiredHolder);
        const hasRequired = required !== undefined && isHeldByMajority([required], marker, 1);
        if (hasRequired && isHeldByMajority([...statuses.values()], marker, group.majority)) {
            isHeld = true;
            done.abort();
        }
    }

    function countCopied(): number {
        return [...statuses.values()].reduce((sum, status) => sum + status.position, 0);
    }

    async function watch(probe: EndpointProbe): Promise<void> {
        await probe.withConnection(async connection => {
            for await (const status of connection.watchStatus(done.signal)) {
                recordStatus(status);
            }
        }).catch(() => {});
    }

    const others = [...group.probes.values()].filter(probe => probe.definition.name !== marker.primary);
    const watches = Promise.all(others.map(watch));
    void watches.then(() => done.abort());
    let copiedBefore: number;
    do {
        copiedBefore = countCopied();
        await group.dependencies.clock.sleep(failoverConstants.confirmationTimeoutMilliseconds, done.signal);
    }
    while (!done.signal.aborted && countCopied() > copiedBefore);
    done.abort();
    return isHeld || group.majority === 1;
}
