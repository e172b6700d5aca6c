import { listLogTermSteps } from "../listLogTermSteps/index.js";
import { searchStates } from "../searchStates/index.js";
import type { LogTermRules } from "../types/LogTermRules.js";
import type { LogTermState } from "../types/LogTermState.js";

const firstEntry = { term: 1, entry: 1 };
const replica = { logEnd: firstEntry, isRunning: true, mayReturn: false };

const initialState: LogTermState = {
    endpoints: [replica, replica, replica],
    leader: 0,
    term: 1,
    branchStart: firstEntry,
    announcedTerm: 1,
    knownEnd: [firstEntry],
    crashesLeft: 3,
    commitsLeft: 2,
    mayChangeHolder: true,
    hasLeftBranch: false,
};

/**
 * Searches every interleaving of crashes, returns, commits and promotions for a promotion that leaves the newest branch of
 * the log although an endpoint of it returns, and for a group that stays without a primary although an endpoint runs.
 *
 * @param rules The rules of the holder.
 * @returns The number of visited states, and the steps to a violation if there is one.
 *
 * @example
 * searchLogTerms(rules).violation; // => undefined
 */
export function searchLogTerms(rules: LogTermRules): ReturnType<typeof searchStates> {
    return searchStates({
        initialState,
        listSteps: state => listLogTermSteps(state, rules),
        isViolation: state => state.hasLeftBranch || isAbandoned(state, rules),
    });
}

/** Whether an endpoint runs, none leads, and no step is possible. */
function isAbandoned(state: LogTermState, rules: LogTermRules): boolean {
    const { endpoints, leader } = state;
    return !endpoints[leader]!.isRunning
        && endpoints.some(({ isRunning }) => isRunning)
        && listLogTermSteps(state, rules).next().done === true;
}
