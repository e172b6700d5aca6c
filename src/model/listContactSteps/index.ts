import { ContactPhase } from "../types/ContactPhase.js";
import type { ContactRules } from "../types/ContactRules.js";
import type { ContactState } from "../types/ContactState.js";
import type { LabelledStep } from "../types/LabelledStep.js";
import { WritePhase } from "../types/WritePhase.js";

type ContactStep = LabelledStep<ContactState>;

/**
 * Lists the steps that are possible in a state of the model of the holder's contact. The store may answer the rival and
 * not the holder, and the holder never hears of the takeover.
 *
 * @param state The state.
 * @param rules The rules of the contact.
 * @returns Yields the steps.
 *
 * @example
 * for (const { state: next } of listContactSteps(state, rules)) { ... }
 */
export function* listContactSteps(state: ContactState, rules: ContactRules): Generator<ContactStep> {
    yield* listHolderSteps(state);
    yield* listRivalSteps(state, rules);
    yield* listWriterSteps(state, rules);
}

function* listHolderSteps(state: ContactState): Generator<ContactStep> {
    const { rival } = state;
    if (rival !== ContactPhase.Holder) {
        // A verification after each live VM's wait shows that none has taken over without contact.
        const isListComplete = state.isListComplete || rival !== ContactPhase.Waiting;
        const verified = { ...state, isVerified: true, isWithinBound: true, isListComplete };
        yield { name: "holder is verified", state: verified };
    }
    if (state.isVerified) {
        yield { name: "verification no longer counts", state: { ...state, isVerified: false } };
    }
    else if (state.isWithinBound) {
        yield { name: "contact no longer counts", state: { ...state, isWithinBound: false } };
    }
}

function* listRivalSteps(state: ContactState, rules: ContactRules): Generator<ContactStep> {
    const { rival, scope } = state;
    const mayStart = scope.mayStartLater || !state.isListComplete;
    if (rival === ContactPhase.Absent && mayStart) {
        yield { name: "rival starts", state: { ...state, rival: ContactPhase.Waiting } };
    }
    const isUnheard = [ContactPhase.Waiting, ContactPhase.Delayed, ContactPhase.Silent].includes(rival);
    if (isUnheard) {
        yield {
            name: "holder hears the rival",
            state: { ...state, rival: ContactPhase.InContact, isRivalListed: true },
        };
        const replaced = { ...state, rival: ContactPhase.Holder, isLeaseCounted: state.hasLease };
        yield { name: "rival takes over", state: replaced };
    }
    if (rival === ContactPhase.Waiting && scope.mayTakeOverLate) {
        yield { name: "rival's wait is over", state: { ...state, rival: ContactPhase.Delayed } };
    }
    if (rival === ContactPhase.InContact) {
        yield { name: "holder no longer hears the rival", state: { ...state, rival: ContactPhase.Silent } };
    }
    const awaitsBound = rules.boundsContact && !state.isRivalListed && state.isWithinBound;
    const awaitsLease = state.hasLease && state.isLeaseCounted;
    if (rival === ContactPhase.Holder && !state.isVerified && !awaitsBound && !awaitsLease) {
        yield { name: "rival's promotion takes effect", state: { ...state, isPromoted: true } };
    }
}

/** Whether the holder takes contact with all listed VMs for proof that none has replaced it. */
function isInContactWithAll(state: ContactState, rules: ContactRules): boolean {
    return (state.isListComplete || !rules.requiresCompleteList)
        && (state.isWithinBound || !rules.boundsContact)
        && (!state.isRivalListed || state.rival === ContactPhase.InContact);
}

function* listWriterSteps(state: ContactState, rules: ContactRules): Generator<ContactStep> {
    const { write, rival, isVerified } = state;
    if (isVerified || isInContactWithAll(state, rules)) {
        // A lease that the holder grants within the time for which the rival waits ends within that time.
        const isCounted = rival !== ContactPhase.Holder || isVerified || rules.boundsContact && state.isWithinBound;
        yield { name: "holder grants a lease", state: { ...state, hasLease: true, isLeaseCounted: isCounted } };
    }
    if (state.hasLease) {
        yield { name: "lease ends", state: { ...state, hasLease: false, isLeaseCounted: false } };
    }
    if (write === WritePhase.Waiting && state.isPromoted) {
        yield { name: "old primary commits", state: { ...state, write: WritePhase.Committed } };
    }
    if (write === WritePhase.Committed && state.hasLease) {
        yield { name: "lease vouches", state: { ...state, write: WritePhase.Acknowledged } };
    }
}
