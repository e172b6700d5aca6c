import type { LinkConditions } from "../types/LinkConditions.js";
import type { NetworkConditions } from "../types/NetworkConditions.js";

const unemulatedLink: LinkConditions = { delayMilliseconds: 0, isCut: false };

/**
 * Creates the conditions of a network that is not emulated: no link is delayed, cut or silenced.
 *
 * @param localZone Availability zone of this process.
 * @returns Conditions that only count the bytes sent.
 *
 * @example
 * const conditions = createUnemulatedNetwork("ga-north-1");
 */
export function createUnemulatedNetwork(localZone: string): NetworkConditions {
    const bytesByLink = new Map<string, number>();

    function countBytes(from: string, to: string, bytes: number): void {
        const link = `${from}>${to}`;
        bytesByLink.set(link, (bytesByLink.get(link) ?? 0) + bytes);
    }

    return {
        linkBetween: () => unemulatedLink,
        onChange: () => () => {},
        countBytes,
        bytesByLink,
        localZone,
        delayMillisecondsTo: () => 0,
    };
}
