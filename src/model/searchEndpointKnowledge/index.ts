import { listKnowledgeSteps } from "../listKnowledgeSteps/index.js";
import { searchStates } from "../searchStates/index.js";
import { KnowledgeEndpoint } from "../types/KnowledgeEndpoint.js";
import type { KnowledgeRules } from "../types/KnowledgeRules.js";
import type { KnowledgeState } from "../types/KnowledgeState.js";

const initialState: KnowledgeState = {
    leader: KnowledgeEndpoint.Former,
    steppedDown: [],
    hasCommitted: true,
    hasTermInLog: false,
    hasNewcomer: false,
    knownEndpoints: [KnowledgeEndpoint.Replica],
    hasLostEndpoint: false,
    isCut: false,
    isSilent: false,
    hasReported: false,
    countsVm: true,
    holderChangesLeft: 2,
    hasReadStale: false,
};

/**
 * Searches every interleaving of changes of the primary and of the holder for a read that a VM without a lease returns
 * from a former primary although a later one has acknowledged a commit. The VM's directory may lack endpoints.
 *
 * @param rules The rules of the VM and the holder.
 * @returns The number of visited states, and the steps to a violation if there is one.
 *
 * @example
 * searchEndpointKnowledge(rules).violation; // => undefined
 */
export function searchEndpointKnowledge(rules: KnowledgeRules): ReturnType<typeof searchStates> {
    return searchStates({
        initialState,
        listSteps: state => listKnowledgeSteps(state, rules),
        isViolation: state => state.hasReadStale,
    });
}
