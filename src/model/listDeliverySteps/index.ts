import { ChangePhase } from "../types/ChangePhase.js";
import type { DeliveryReceiver } from "../types/DeliveryReceiver.js";
import type { DeliveryRules } from "../types/DeliveryRules.js";
import type { DeliveryState } from "../types/DeliveryState.js";
import type { LabelledStep } from "../types/LabelledStep.js";
import { WritePhase } from "../types/WritePhase.js";

const maximumOtherAnnouncements = 1;
const nothingReceived: DeliveryReceiver = { received: 0, highest: 0, complete: 0 };

type DeliveryStep = LabelledStep<DeliveryState>;

/**
 * Lists the steps that are possible in a state of the model of the delivery. Each announcement, renewal and answer may
 * be late or lost, and the VM may restart.
 *
 * @param state The state.
 * @param rules The rules of the delivery.
 * @returns Yields the steps.
 *
 * @example
 * for (const { state: next } of listDeliverySteps(state, rules)) { ... }
 */
export function* listDeliverySteps(state: DeliveryState, rules: DeliveryRules): Generator<DeliveryStep> {
    yield* listHolderSteps(state);
    yield* listAnnouncementSteps(state);
    yield* listRenewalSteps(state, rules);
    yield* listRelaySteps(state, rules);
    yield* listWriteSteps(state);
}

function* listHolderSteps(state: DeliveryState): Generator<DeliveryStep> {
    const { phase, answer, begunSequence } = state;
    const next = state.lastSequence + 1;
    if (state.otherAnnouncements < maximumOtherAnnouncements) {
        const announced = { ...state, lastSequence: next, otherAnnouncements: state.otherAnnouncements + 1 };
        yield { name: `the other group's change is announced as ${next}`, state: announced };
    }
    if (phase === ChangePhase.Serving && begunSequence === 0) {
        const begun = {
            ...state,
            phase: ChangePhase.Announced,
            lastSequence: next,
            begunSequence: next,
            newestSequence: next,
        };
        yield { name: `the change is announced as ${next}`, state: begun };
    }
    const hasFormerLease = state.hasLease && !state.isLeaseAfterAnnouncement
        || answer?.hasLease === true && !answer.isAfterAnnouncement;
    if (phase === ChangePhase.Announced && (state.isConfirmed || !hasFormerLease)) {
        yield { name: "the promotion is ordered", state: { ...state, phase: ChangePhase.Ordered } };
    }
    if (phase === ChangePhase.Ordered) {
        yield { name: "the successor leads", state: { ...state, phase: ChangePhase.Promoted } };
    }
    if (phase === ChangePhase.Promoted && state.newestSequence === begunSequence) {
        const finished = { ...state, lastSequence: next, newestSequence: next };
        yield { name: `the end is announced as ${next}`, state: finished };
    }
}

/** Receives the newest announcement of one group. */
function receive(receiver: DeliveryReceiver, sequence: number, received: number): DeliveryReceiver {
    return {
        ...receiver,
        received: Math.max(receiver.received, received),
        highest: Math.max(receiver.highest, sequence),
    };
}

/** Any announcement may be received directly; the last one is of the other group when it isn't the newest of the group. */
function* listAnnouncementSteps(state: DeliveryState): Generator<DeliveryStep> {
    const { newestSequence, lastSequence, vm, relay } = state;
    if (newestSequence > 0) {
        yield {
            name: `VM receives ${newestSequence}`,
            state: { ...state, vm: receive(vm, newestSequence, newestSequence), isConfirmed: true },
        };
        const relayReceives = receive(relay, newestSequence, newestSequence);
        yield { name: `relay receives ${newestSequence}`, state: { ...state, relay: relayReceives } };
    }
    if (lastSequence > newestSequence) {
        yield { name: `VM receives ${lastSequence}`, state: { ...state, vm: receive(vm, lastSequence, 0) } };
        yield { name: `relay receives ${lastSequence}`, state: { ...state, relay: receive(relay, lastSequence, 0) } };
    }
}

function reportedSequence({ complete, highest }: DeliveryReceiver, rules: DeliveryRules): number {
    return rules.reportsAnswersOnly ? complete : highest;
}

function* listRenewalSteps(state: DeliveryState, rules: DeliveryRules): Generator<DeliveryStep> {
    const { vm, renewal, answer, newestSequence } = state;
    if (renewal === undefined && answer === undefined) {
        const reported = reportedSequence(vm, rules);
        yield { name: `VM sends a renewal that reports ${reported}`, state: { ...state, renewal: reported } };
    }
    if (renewal !== undefined) {
        const created = {
            carried: newestSequence > renewal ? newestSequence : 0,
            highest: state.lastSequence,
            hasLease: true,
            isAfterAnnouncement: state.begunSequence > 0,
        };
        yield {
            name: `holder answers with ${created.carried}`,
            state: { ...state, renewal: undefined, answer: created },
        };
    }
    if (answer !== undefined) {
        const received = receive(vm, answer.carried, answer.carried);
        const complete = Math.max(vm.complete, answer.highest);
        const applied = {
            ...state,
            vm: { ...received, complete },
            answer: undefined,
            hasLease: answer.hasLease || state.hasLease,
            isLeaseAfterAnnouncement: answer.hasLease ? answer.isAfterAnnouncement : state.isLeaseAfterAnnouncement,
        };
        yield { name: "VM gets the answer", state: applied };
        yield { name: "answer is lost", state: { ...state, answer: undefined } };
        if (answer.hasLease) {
            const ended = { ...answer, hasLease: false };
            yield { name: "lease on its way ends", state: { ...state, answer: ended } };
        }
    }
    if (state.hasLease) {
        yield { name: "lease ends", state: { ...state, hasLease: false, isLeaseAfterAnnouncement: false } };
    }
    const withoutLease = { ...state, hasLease: false, isLeaseAfterAnnouncement: false };
    const restarted = { ...withoutLease, renewal: undefined, answer: undefined, vm: nothingReceived };
    yield { name: "VM restarts", state: restarted };
}

/** The relay renews with the holder, and answers renewals of the VM without a lease. */
function* listRelaySteps(state: DeliveryState, rules: DeliveryRules): Generator<DeliveryStep> {
    const { vm, relay, newestSequence, lastSequence } = state;
    const carriedByHolder = newestSequence > reportedSequence(relay, rules) ? newestSequence : 0;
    const renewed = { ...receive(relay, carriedByHolder, carriedByHolder), complete: lastSequence };
    yield { name: "relay gets an answer", state: { ...state, relay: renewed } };
    const carried = relay.received > reportedSequence(vm, rules) ? relay.received : 0;
    const known = rules.countsRelaysOwnAnswers ? relay.complete : relay.highest;
    const answered = { ...receive(vm, carried, carried), complete: Math.max(vm.complete, known) };
    yield { name: "VM gets an answer of the relay", state: { ...state, vm: answered } };
}

/** Only a write that the old primary commits after the successor leads matters; the successor's answer refuses it. */
function* listWriteSteps(state: DeliveryState): Generator<DeliveryStep> {
    const { write, vm, phase } = state;
    if (write === WritePhase.Waiting && phase === ChangePhase.Promoted) {
        yield { name: "old primary commits", state: { ...state, write: WritePhase.Committed } };
    }
    if (write === WritePhase.Committed && state.hasLease && vm.received === 0) {
        yield { name: "lease vouches", state: { ...state, write: WritePhase.Acknowledged } };
    }
}
