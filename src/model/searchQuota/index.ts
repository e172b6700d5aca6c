import { listQuotaSteps } from "../listQuotaSteps/index.js";
import { searchStates } from "../searchStates/index.js";
import type { QuotaGrantState } from "../types/QuotaGrantState.js";
import type { QuotaProtection } from "../types/QuotaProtection.js";

const limit = 2;

/**
 * Searches every interleaving of demands, grants, operations, lost and late messages, pauses, suspensions, a change of the
 * holder and a lower limit for more operations than one token bucket admits.
 *
 * @param omitted A protection that is left out.
 * @returns The number of visited states, and the steps to a violation if there is one.
 *
 * @example
 * searchQuota().violation; // => undefined
 */
export function searchQuota(omitted?: QuotaProtection): ReturnType<typeof searchStates> {
    const vm = { held: 0, left: 0, limit: 0, demand: undefined, age: 0, answer: undefined };
    return searchStates<QuotaGrantState>({
        initialState: {
            limit,
            vms: [vm, vm],
            bucket: limit,
            counted: [{ held: 0, left: 0 }, { held: 0, left: 0 }],
            sharesIn: 0,
            hasChangedHolder: false,
            isLowered: false,
            bindsIn: 0,
            allowed: limit,
        },
        listSteps: state => listQuotaSteps(state, limit, omitted),
        isViolation: ({ allowed }) => allowed < 0,
    });
}
