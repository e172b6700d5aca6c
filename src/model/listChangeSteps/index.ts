import { ChangePhase } from "../types/ChangePhase.js";
import type { ChangeRules } from "../types/ChangeRules.js";
import type { ChangeState } from "../types/ChangeState.js";
import { WritePhase } from "../types/WritePhase.js";

/**
 * Lists the states that can follow a state of the change of a primary. Messages may be lost or late, a lease may end at
 * any moment but never later than the holder assumes, and each process may pause between any two steps.
 *
 * @param state The state.
 * @param rules The rules of the change.
 * @returns Yields the next states.
 *
 * @example
 * for (const next of listChangeSteps(state, rules)) { ... }
 */
export function* listChangeSteps(state: ChangeState, rules: ChangeRules): Generator<ChangeState> {
    yield* listHolderSteps(state, rules);
    yield* listVmSteps(state, rules);
    yield* listWriteSteps(state, rules);
}

function* listHolderSteps(state: ChangeState, rules: ChangeRules): Generator<ChangeState> {
    const { phase } = state;
    if (phase === ChangePhase.Serving) {
        yield { ...state, phase: ChangePhase.Announced };
        // The holder fails and another VM takes over; leases granted by the previous holder stay valid.
        yield { ...state, phase: ChangePhase.Announced, isFormerLease: state.hasLease, isCut: true };
    }
    if (phase === ChangePhase.Announced && mayOrder(state, rules)) {
        yield { ...state, phase: ChangePhase.Ordered };
    }
    if (phase === ChangePhase.Ordered) {
        yield { ...state, phase: ChangePhase.Promoted };
    }
    if (phase === ChangePhase.Announced) {
        yield { ...state, phase: ChangePhase.Serving, hasReceivedAnnouncement: false, hasConfirmed: false };
    }
    if (phase === ChangePhase.Ordered && !rules.cancelsOnlyUnordered) {
        // The order was not answered and takes effect after the cancellation.
        yield { ...state, hasReceivedAnnouncement: false };
    }
    if (phase !== ChangePhase.Serving && !state.hasSteppedDown) {
        yield { ...state, hasSteppedDown: true };
    }
}

function mayOrder(state: ChangeState, rules: ChangeRules): boolean {
    const mustAwaitLease = state.hasLease && (!state.isFormerLease || rules.countsFormerLeases);
    return state.hasConfirmed || !rules.waitsForLeases || !mustAwaitLease;
}

function* listVmSteps(state: ChangeState, rules: ChangeRules): Generator<ChangeState> {
    if (!state.isCut) {
        yield { ...state, isCut: true };
        if (state.phase === ChangePhase.Serving) {
            yield { ...state, hasLease: true };
        }
        else {
            yield { ...state, hasReceivedAnnouncement: true, hasConfirmed: true };
            // The confirmation is lost.
            yield { ...state, hasReceivedAnnouncement: true };
            // The answer to a renewal carries the announcement and grants a lease.
            yield { ...state, hasReceivedAnnouncement: true, hasConfirmed: true, hasLease: true };
        }
    }
    if (state.hasReceivedAnnouncement && !rules.keepsAnnouncementUntilEnd) {
        yield { ...state, hasReceivedAnnouncement: false };
    }
    if (state.hasLease) {
        yield { ...state, hasLease: false };
    }
}

function* listWriteSteps(state: ChangeState, rules: ChangeRules): Generator<ChangeState> {
    const { write } = state;
    const mayRelyOnLease = state.hasLease && !(state.hasReceivedAnnouncement && rules.dropsPrimaryOnAnnouncement);
    const isSuccessorPrimary = state.phase === ChangePhase.Promoted;
    if (write === WritePhase.Waiting) {
        if (mayRelyOnLease || !rules.verifiesWithoutLease) {
            yield { ...state, write: WritePhase.Sent };
        }
        else if (!isSuccessorPrimary) {
            yield { ...state, write: WritePhase.Sent, isVerified: !rules.verifiesAfterAnswer };
        }
    }
    if (write === WritePhase.Sent && !state.hasSteppedDown) {
        yield { ...state, write: WritePhase.Committed, isCommittedAfterChange: isSuccessorPrimary };
    }
    if (write === WritePhase.Committed) {
        const mayAcknowledge = mayRelyOnLease || !rules.rechecksAfterAnswer || state.isVerified
            || !rules.verifiesWithoutLease;
        if (mayAcknowledge) {
            yield { ...state, write: WritePhase.Acknowledged };
        }
        else if (rules.verifiesAfterAnswer) {
            yield { ...state, write: isSuccessorPrimary ? WritePhase.Refused : WritePhase.Acknowledged };
        }
        else {
            yield { ...state, write: WritePhase.Refused };
        }
    }
}
