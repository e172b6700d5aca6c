import { AnnouncementPhase } from "../../duty/types/AnnouncementPhase.js";
import { listSuccessionSteps } from "../listSuccessionSteps/index.js";
import { searchStates } from "../searchStates/index.js";
import { ChangePhase } from "../types/ChangePhase.js";
import { SuccessionLease } from "../types/SuccessionLease.js";
import { SuccessionPhase } from "../types/SuccessionPhase.js";
import type { SuccessionRules } from "../types/SuccessionRules.js";
import type { SuccessionState } from "../types/SuccessionState.js";
import { WritePhase } from "../types/WritePhase.js";

const replica = { isPrimary: false, term: 1, isOrdered: false, isListed: true };
const firstAnnouncement = { sequence: 0, phase: AnnouncementPhase.Finished, endpoint: 0, term: 1 };

const initialState: SuccessionState = {
    endpoints: [{ ...replica, isPrimary: true }, replica, replica],
    former: { phase: ChangePhase.Serving, isVerified: true, announcement: firstAnnouncement },
    current: {
        phase: SuccessionPhase.Absent,
        isHandedOver: false,
        target: 0,
        termBeforeOrder: 0,
        announcement: firstAnnouncement,
    },
    lease: SuccessionLease.None,
    received: firstAnnouncement,
    write: WritePhase.Waiting,
    writeEndpoint: 0,
    writeTerm: 0,
};

/**
 * Searches every interleaving of a change of the primary and a change of the holder for a write that is acknowledged
 * although a superseded endpoint committed it.
 *
 * @param rules The rules of the new holder.
 * @returns The number of visited states, and the steps to a violation if there is one.
 *
 * @example
 * searchSuccession(rules).violation; // => undefined
 */
export function searchSuccession(rules: SuccessionRules): ReturnType<typeof searchStates> {
    return searchStates({
        initialState,
        listSteps: state => listSuccessionSteps(state, rules),
        isViolation: ({ write }) => write === WritePhase.Acknowledged,
    });
}
