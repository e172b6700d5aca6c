import type { PeerRecord } from "../types/PeerRecord.js";
import { PeerState } from "../types/PeerState.js";

const ranks: Readonly<Record<PeerState, number>> = {
    [PeerState.Live]: 0,
    [PeerState.Suspected]: 1,
    [PeerState.Leaving]: 2,
    [PeerState.Dead]: 3,
};

/**
 * Tells whether a record replaces what is known: by a higher incarnation, else by the graver state.
 *
 * @param update The record that arrived.
 * @param known The record that is known.
 * @returns True when the update is to be taken.
 *
 * @example
 * supersedes({ ...record, state: PeerState.Suspected }, record); // true
 */
export function supersedes(update: PeerRecord, known: PeerRecord): boolean {
    if (update.incarnation !== known.incarnation) {
        return update.incarnation > known.incarnation;
    }
    return ranks[update.state] > ranks[known.state];
}
