import type { PeerRecord } from "../types/PeerRecord.js";
import { PeerState } from "../types/PeerState.js";

const ranks: Readonly<Record<PeerState, number>> = {
    [PeerState.Live]: 0,
    [PeerState.Suspected]: 1,
    [PeerState.Leaving]: 2,
    [PeerState.Dead]: 3,
};

/**
 * Checks whether a record replaces the known one: by a higher incarnation or, if equal, by a state of higher rank.
 *
 * @param update The received record.
 * @param known The known record of the same gateway.
 * @returns True if the update is to be applied.
 *
 * @example
 * supersedes({ ...record, state: PeerState.Suspected }, record); // true
 */
export function isNewerRecord(update: PeerRecord, known: PeerRecord): boolean {
    if (update.incarnation !== known.incarnation) {
        return update.incarnation > known.incarnation;
    }
    return ranks[update.state] > ranks[known.state];
}
