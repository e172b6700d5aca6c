import { listContactSteps } from "../listContactSteps/index.js";
import { searchStates } from "../searchStates/index.js";
import { ContactPhase } from "../types/ContactPhase.js";
import type { ContactRules } from "../types/ContactRules.js";
import type { ContactScope } from "../types/ContactScope.js";
import { WritePhase } from "../types/WritePhase.js";

/**
 * Searches every interleaving of a holder's verifications, its contact with a VM that may replace it, and its leases
 * for a write that is acknowledged although the old primary committed it after the other VM's promotion.
 *
 * @param rules The rules of the contact.
 * @param scope What the search covers.
 * @returns The number of visited states, and the steps to a violation if there is one.
 *
 * @example
 * searchContact(rules, { mayStartLater: false, mayTakeOverLate: false }).violation; // => undefined
 */
export function searchContact(rules: ContactRules, scope: ContactScope): ReturnType<typeof searchStates> {
    return searchStates({
        initialState: {
            scope,
            rival: ContactPhase.Absent,
            isRivalListed: false,
            isVerified: false,
            isWithinBound: false,
            isListComplete: false,
            hasLease: false,
            isLeaseCounted: false,
            isPromoted: false,
            write: WritePhase.Waiting,
        },
        listSteps: state => listContactSteps(state, rules),
        isViolation: ({ write }) => write === WritePhase.Acknowledged,
    });
}
