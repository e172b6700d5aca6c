import { KnowledgeEndpoint } from "../types/KnowledgeEndpoint.js";
import type { KnowledgeRules } from "../types/KnowledgeRules.js";
import type { KnowledgeState } from "../types/KnowledgeState.js";
import type { LabelledStep } from "../types/LabelledStep.js";

type KnowledgeStep = LabelledStep<KnowledgeState>;

const { Former, Replica, Newcomer } = KnowledgeEndpoint;

/**
 * Lists the steps that are possible in a state of the model of what a VM without a lease knows of a group. Any endpoint
 * may be out of reach of the holder, and of its successor; the VM reaches those that it knows.
 *
 * @param state The state.
 * @param rules The rules of the VM and the holder.
 * @returns Yields the steps.
 *
 * @example
 * for (const { state: next } of listKnowledgeSteps(state, rules)) { ... }
 */
export function* listKnowledgeSteps(state: KnowledgeState, rules: KnowledgeRules): Generator<KnowledgeStep> {
    yield* listVmSteps(state, rules);
    yield* listHolderSteps(state, rules);
    yield* listEndpointSteps(state);
    if (mayRead(state, rules)) {
        const hasReadStale = state.leader !== Former && state.hasCommitted;
        yield { name: "the VM reads at the former primary", state: { ...state, hasReadStale } };
    }
}

function* listVmSteps(state: KnowledgeState, rules: KnowledgeRules): Generator<KnowledgeStep> {
    const { isCut, isSilent, knownEndpoints } = state;
    if (!isCut) {
        yield { name: "the VM is cut off", state: { ...state, isCut: true } };
    }
    if (!isCut && state.hasNewcomer && !knownEndpoints.includes(Newcomer)) {
        yield {
            name: "the VM learns of the newcomer",
            state: { ...state, knownEndpoints: [...knownEndpoints, Newcomer] },
        };
    }
    if (!isCut && knownEndpoints.includes(Newcomer)) {
        yield { name: "the VM reports the newcomer", state: { ...state, hasReported: true } };
    }
    if (isCut && !isSilent) {
        yield { name: "the VM is without contact for long", state: { ...state, isSilent: true } };
    }
    for (const endpoint of knownEndpoints) {
        const hasLostEndpoint = rules.countsLostEndpoints;
        const remaining = knownEndpoints.filter(each => each !== endpoint);
        yield { name: `the VM loses ${endpoint}`, state: { ...state, knownEndpoints: remaining, hasLostEndpoint } };
    }
}

function* listHolderSteps(state: KnowledgeState, rules: KnowledgeRules): Generator<KnowledgeStep> {
    const { leader, steppedDown, countsVm, isCut, isSilent } = state;
    if (countsVm && isCut && (isSilent || !rules.remembersSilentVms)) {
        yield { name: "the holder forgets the VM", state: { ...state, countsVm: false } };
    }
    if (state.holderChangesLeft > 0) {
        const next = { ...state, holderChangesLeft: state.holderChangesLeft - 1 };
        // A new holder cannot know a VM that is cut off; it waits until such a one relies on no primary.
        yield { name: "another VM becomes the holder", state: { ...next, countsVm: rules.waitsAsNewHolder } };
    }
    if (!steppedDown.includes(leader)) {
        yield { name: `${leader} steps down`, state: { ...state, steppedDown: [...steppedDown, leader] } };
    }
    const candidates = [Replica, ...state.hasNewcomer ? [Newcomer] : []].filter(each => each !== leader);
    for (const endpoint of candidates.filter(each => mayPromote(state, each, rules))) {
        const remaining = steppedDown.filter(each => each !== endpoint);
        const hasTermInLog = state.hasTermInLog || leader === Replica && state.hasCommitted;
        const next = { ...state, leader: endpoint, steppedDown: remaining, hasCommitted: false, hasTermInLog };
        yield { name: `${endpoint} is promoted`, state: next };
    }
}

function mayPromote(state: KnowledgeState, endpoint: KnowledgeEndpoint, rules: KnowledgeRules): boolean {
    const { leader, steppedDown, hasCommitted, hasReported, countsVm } = state;
    const isKnown = endpoint === Replica || hasReported || !countsVm;
    // The log of the endpoint that led at the start shows its term.
    const hasTermInLog = leader === Former || hasCommitted || !rules.needsTermInLog;
    return isKnown || !rules.promotesKnownEndpoints || steppedDown.includes(leader) && hasTermInLog;
}

function* listEndpointSteps(state: KnowledgeState): Generator<KnowledgeStep> {
    if (!state.hasNewcomer) {
        yield { name: "the newcomer registers", state: { ...state, hasNewcomer: true } };
    }
    if (!state.hasCommitted && !state.steppedDown.includes(state.leader)) {
        yield { name: `${state.leader} acknowledges a commit`, state: { ...state, hasCommitted: true } };
    }
    if (state.leader !== Former && !state.steppedDown.includes(Former)) {
        const steppedDown = [...state.steppedDown, Former];
        yield { name: "the former primary reaches its successor", state: { ...state, steppedDown } };
    }
}

/** Whether the VM relies on the former primary after it has asked the endpoints that it knows. */
function mayRead(state: KnowledgeState, rules: KnowledgeRules): boolean {
    const { leader, steppedDown, knownEndpoints } = state;
    const claimsToLead = !steppedDown.includes(Former) || !rules.asksEndpointItself;
    const isContradicted = knownEndpoints.some(endpoint => hasNewerTerm(endpoint, state))
        || knownEndpoints.includes(leader) && !steppedDown.includes(leader);
    const isComplete = !state.hasLostEndpoint && (!state.isSilent || !rules.stopsWithoutContact);
    return claimsToLead && !isContradicted && isComplete;
}

/** Whether the log of an endpoint shows a term above the one in which the former primary led. */
function hasNewerTerm(
    endpoint: KnowledgeEndpoint,
    { leader, hasCommitted, hasTermInLog }: KnowledgeState,
): boolean {
    return endpoint === Replica && hasTermInLog || endpoint === leader && leader !== Former && hasCommitted;
}
