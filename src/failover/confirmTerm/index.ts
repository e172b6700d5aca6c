import type { GroupRecord } from "../../topology/types/GroupRecord.js";
import { confirmMarker } from "../confirmMarker/index.js";
import { failoverConstants } from "../constants.js";
import { sendFollowOrders } from "../sendFollowOrders/index.js";
import type { CoordinatedGroup } from "../types/CoordinatedGroup.js";

/** The primary of a term whose marker is to be confirmed. */
interface TermToConfirm {
    readonly term: number;
    readonly primary: string;
    /** An endpoint that must hold the marker, in addition to a majority. */
    readonly requiredHolder?: string;
}

/**
 * Makes the other endpoints follow a primary, writes a marker in its term and waits until it is confirmed.
 *
 * @param group The group.
 * @param confirmed The term and its primary.
 * @returns The record of the term; undefined when the marker was not confirmed in time.
 * @throws TarragonpostError of kind `EndpointRefused` when the primary has seen a higher term, or of another kind
 * when it does not answer.
 *
 * @example
 * const record = await confirmTerm(group, { term: 5, primary: "stock-2" });
 */
export async function confirmTerm(
    group: CoordinatedGroup,
    confirmed: TermToConfirm,
): Promise<GroupRecord | undefined> {
    const { term, primary, requiredHolder } = confirmed;
    const others = [...group.probes.keys()].filter(endpoint => endpoint !== primary);
    void sendFollowOrders(group, { term, primary, endpoints: others });
    const marker = await group.probes.get(primary)?.withConnection(connection =>
        connection.writeMarker(term, failoverConstants.callTimeoutMilliseconds)
    );
    if (marker === undefined) {
        return undefined;
    }
    const isHeld = await confirmMarker(group, { term, primary, position: marker.position, requiredHolder });
    if (!isHeld) {
        group.reportWaiting(`No other endpoint of ${group.database} holds the marker of ${primary} in term ${term}.`);
        return undefined;
    }
    return { database: group.database, term, primary, markerPosition: marker.position };
}
