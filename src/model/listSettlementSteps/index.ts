import { AnnouncementPhase } from "../../duty/types/AnnouncementPhase.js";
import type { LabelledStep } from "../types/LabelledStep.js";
import type { SettlementEndpoint } from "../types/SettlementEndpoint.js";
import { SettlementPhase } from "../types/SettlementPhase.js";
import type { SettlementRules } from "../types/SettlementRules.js";
import type { SettlementState } from "../types/SettlementState.js";
import { WritePhase } from "../types/WritePhase.js";

type SettlementStep = LabelledStep<SettlementState>;

/**
 * Lists the steps that are possible in a state of the model of the settlement. An order to promote may be lost or take
 * effect late, an endpoint may not answer, and a change may fail before or after its order.
 *
 * @param state The state.
 * @param rules The rules of the settlement.
 * @returns Yields the steps.
 *
 * @example
 * for (const { state: next } of listSettlementSteps(state, rules)) { ... }
 */
export function* listSettlementSteps(state: SettlementState, rules: SettlementRules): Generator<SettlementStep> {
    yield* listChanges(state, rules);
    yield* listEndsOfChange(state, rules);
    yield* listEndpointSteps(state);
    yield* listVmSteps(state);
    yield* listWriteSteps(state, rules);
}

function highestTerm({ endpoints }: SettlementState): number {
    return Math.max(...endpoints.map(({ term }) => term));
}

function withEndpoint(state: SettlementState, index: number, changes: Partial<SettlementEndpoint>): SettlementState {
    return { ...state, endpoints: state.endpoints.with(index, { ...state.endpoints[index]!, ...changes }) };
}

/** Announces the beginning or the cancellation of a change, which tells nothing new about who leads. */
function announce(state: SettlementState, phase: AnnouncementPhase): SettlementState {
    const sequence = state.announcement.sequence + 1;
    return { ...state, announcement: { ...state.announcement, sequence, phase } };
}

/** Whether the holder may act on a change whose end is unknown. */
function maySettle({ phase, endpoints }: SettlementState, rules: SettlementRules): boolean {
    return phase === SettlementPhase.Unknown
        && !(rules.waitsForOrders && endpoints.some(({ isOrdered }) => isOrdered));
}

function* listChanges(state: SettlementState, rules: SettlementRules): Generator<SettlementStep> {
    const { phase, endpoints, announcement, successor } = state;
    const mayBegin = phase === SettlementPhase.Serving || maySettle(state, rules);
    for (let next = 0; next < endpoints.length && mayBegin && state.changes < state.scope.changes; next += 1) {
        if (next !== announcement.endpoint || phase === SettlementPhase.Unknown) {
            const begun = announce(state, AnnouncementPhase.Begun);
            yield {
                name: `change to ${next} begins`,
                state: { ...begun, phase: SettlementPhase.Announced, changes: state.changes + 1, successor: next },
            };
        }
    }
    const isConfirmed = !state.hasLease || state.received.sequence === announcement.sequence;
    if (phase === SettlementPhase.Announced && isConfirmed) {
        const ordered = withEndpoint(state, successor, { isOrdered: true });
        const termBeforeOrder = endpoints[successor]!.term;
        yield {
            name: `promotion of ${successor} is ordered`,
            state: { ...ordered, phase: SettlementPhase.Ordered, termBeforeOrder, isOrderAnswered: false },
        };
    }
}

function* listEndsOfChange(state: SettlementState, rules: SettlementRules): Generator<SettlementStep> {
    const { phase, endpoints, successor } = state;
    if (phase === SettlementPhase.Announced) {
        yield { name: "change fails before its order", state: failChange(state, rules) };
    }
    if (phase === SettlementPhase.Ordered) {
        const { isOrdered, isPrimary, term } = endpoints[successor]!;
        const unknown = { ...state, phase: SettlementPhase.Unknown, hasUnknownEnd: true };
        yield { name: "end of the change stays unknown", state: unknown };
        if (isOrdered && !state.isOrderAnswered) {
            const refused = withEndpoint(state, successor, { isOrdered: false });
            yield { name: "order is refused", state: failChange(refused, rules) };
            yield { name: "order is answered", state: { ...state, isOrderAnswered: true } };
        }
        // An endpoint that led before may be seen to lead although the order has not taken effect.
        const hasNewTerm = term > state.termBeforeOrder;
        const isUnchanged = rules.acceptsAnsweredOrder && state.isOrderAnswered && !isOrdered;
        if (isPrimary && (hasNewTerm || isUnchanged || !rules.requiresNewTerm)) {
            yield { name: `${successor} is seen to lead`, state: finishChange(state, successor) };
        }
    }
    if (maySettle(state, rules) && !rules.settlesByPromotion) {
        for (const index of listSettleable(state, rules)) {
            yield { name: `holder settles on ${index}`, state: finishChange(state, index) };
        }
    }
}

function failChange(state: SettlementState, rules: SettlementRules): SettlementState {
    if (rules.cancelsNoUnknownEnd && state.hasUnknownEnd) {
        return { ...state, phase: SettlementPhase.Unknown };
    }
    const cancelled = announce(state, AnnouncementPhase.Cancelled);
    return { ...cancelled, phase: SettlementPhase.Serving, hasUnknownEnd: false };
}

function finishChange(state: SettlementState, endpoint: number): SettlementState {
    const announcement = {
        sequence: state.announcement.sequence + 1,
        phase: AnnouncementPhase.Finished,
        endpoint,
        term: state.endpoints[endpoint]!.term,
    };
    return { ...state, announcement, phase: SettlementPhase.Serving, hasUnknownEnd: false };
}

/** Lists the endpoints that the holder may settle on: claimants with the highest term among the endpoints that answer. */
function listSettleable({ endpoints }: SettlementState, rules: SettlementRules): readonly number[] {
    return [...endpoints.keys()].filter(index => {
        const { isPrimary, term } = endpoints[index]!;
        // An endpoint that may be silent, or that the holder does not list, is no obstacle.
        const answering = rules.requiresAllAnswers ? endpoints.filter(({ isListed }) => isListed) : [];
        return isPrimary
            && answering.every(other => other.term <= term || !other.isPrimary && !rules.requiresHighestTerm);
    });
}

function* listEndpointSteps(state: SettlementState): Generator<SettlementStep> {
    for (const [index, { isOrdered, isPrimary, term, isListed }] of state.endpoints.entries()) {
        if (isOrdered) {
            yield takeEffect(state, index);
            if (!state.isOrderAnswered || index !== state.successor) {
                const lost = withEndpoint(state, index, { isOrdered: false });
                yield { name: `order to promote ${index} is lost`, state: lost };
            }
        }
        if (state.scope.mayLoseRecord && index === 1 && isListed) {
            yield { name: `record of ${index} vanishes`, state: withEndpoint(state, index, { isListed: false }) };
        }
        const mayStepDown = term < highestTerm(state)
            || state.phase === SettlementPhase.Announced && index !== state.successor;
        if (isPrimary && mayStepDown) {
            yield { name: `${index} steps down`, state: withEndpoint(state, index, { isPrimary: false }) };
        }
    }
}

/** An order takes effect; it changes nothing when the endpoint is the one that was promoted last. */
function takeEffect(state: SettlementState, index: number): SettlementStep {
    const term = highestTerm(state);
    if (state.endpoints.findIndex(endpoint => endpoint.term === term) === index) {
        return {
            name: `order to promote ${index} changes nothing`,
            state: withEndpoint(state, index, { isOrdered: false }),
        };
    }
    const promoted = { isPrimary: true, isOrdered: false, term: term + 1 };
    return { name: `${index} leads with term ${term + 1}`, state: withEndpoint(state, index, promoted) };
}

function* listVmSteps(state: SettlementState): Generator<SettlementStep> {
    const received = state.announcement;
    yield { name: "VM gets a lease", state: { ...state, received, hasLease: true } };
    yield { name: "VM receives the announcement", state: { ...state, received } };
    yield { name: "lease ends", state: { ...state, hasLease: false } };
}

/** Only a write that a superseded endpoint commits matters; queried endpoints refuse it. */
function* listWriteSteps(state: SettlementState, rules: SettlementRules): Generator<SettlementStep> {
    const { write, received, writeEndpoint } = state;
    if (write === WritePhase.Waiting) {
        for (const [index, { isPrimary, term }] of state.endpoints.entries()) {
            if (isPrimary && term < highestTerm(state)) {
                const committed = { ...state, write: WritePhase.Committed, writeEndpoint: index, writeTerm: term };
                yield { name: `${index} commits with term ${term}`, state: committed };
            }
        }
    }
    const isVouchedFor = state.hasLease
        && received.phase !== AnnouncementPhase.Begun
        && received.endpoint === writeEndpoint
        && (!rules.comparesTermOfCommit || state.writeTerm >= received.term);
    if (write === WritePhase.Committed && isVouchedFor) {
        yield { name: "lease vouches", state: { ...state, write: WritePhase.Acknowledged } };
    }
}
