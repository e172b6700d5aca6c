import { AnnouncementPhase } from "../../duty/types/AnnouncementPhase.js";
import { ChangePhase } from "../types/ChangePhase.js";
import type { LabelledStep } from "../types/LabelledStep.js";
import type { SettlementEndpoint } from "../types/SettlementEndpoint.js";
import { SuccessionLease } from "../types/SuccessionLease.js";
import { SuccessionPhase } from "../types/SuccessionPhase.js";
import type { SuccessionRules } from "../types/SuccessionRules.js";
import type { SuccessionState } from "../types/SuccessionState.js";
import { WritePhase } from "../types/WritePhase.js";

/** Numbers of announcements that belong to one holder. */
const announcementsPerHolder = 10;

type SuccessionStep = LabelledStep<SuccessionState>;

/**
 * Lists the steps that are possible in a state of the model of a succession. The previous holder acts and grants leases
 * as long as its last verification counts; its orders and announcements may be late or lost, also for the new holder.
 *
 * @param state The state.
 * @param rules The rules of the new holder.
 * @returns Yields the steps.
 *
 * @example
 * for (const { state: next } of listSuccessionSteps(state, rules)) { ... }
 */
export function* listSuccessionSteps(state: SuccessionState, rules: SuccessionRules): Generator<SuccessionStep> {
    yield* listFormerSteps(state);
    yield* listTakeovers(state, rules);
    yield* listDecisions(state, rules);
    yield* listOrders(state, rules);
    yield* listEndpointSteps(state);
    yield* listVmSteps(state, rules);
    yield* listWriteSteps(state);
}

function highestTerm({ endpoints }: SuccessionState): number {
    return Math.max(...endpoints.map(({ term }) => term));
}

function withEndpoint(state: SuccessionState, index: number, changes: Partial<SettlementEndpoint>): SuccessionState {
    return { ...state, endpoints: state.endpoints.with(index, { ...state.endpoints[index]!, ...changes }) };
}

function withFormer(state: SuccessionState, changes: Partial<SuccessionState["former"]>): SuccessionState {
    return { ...state, former: { ...state.former, ...changes } };
}

function withCurrent(state: SuccessionState, changes: Partial<SuccessionState["current"]>): SuccessionState {
    return { ...state, current: { ...state.current, ...changes } };
}

function* listFormerSteps(state: SuccessionState): Generator<SuccessionStep> {
    const { former, lease, received } = state;
    const { phase, announcement } = former;
    const sequence = announcement.sequence + 1;
    if (phase === ChangePhase.Serving) {
        const begun = { ...announcement, sequence, phase: AnnouncementPhase.Begun };
        yield {
            name: "former holder announces a change",
            state: withFormer(state, { phase: ChangePhase.Announced, announcement: begun }),
        };
    }
    const isConfirmed = lease !== SuccessionLease.Former || received.sequence >= announcement.sequence;
    if (phase === ChangePhase.Announced && former.isVerified && isConfirmed) {
        const ordered = withFormer(state, { phase: ChangePhase.Ordered });
        yield { name: "former holder orders to promote 1", state: withEndpoint(ordered, 1, { isOrdered: true }) };
    }
    if (phase === ChangePhase.Announced) {
        const cancelled = { ...announcement, sequence, phase: AnnouncementPhase.Cancelled };
        yield {
            name: "former holder cancels its change",
            state: withFormer(state, { phase: ChangePhase.Promoted, announcement: cancelled }),
        };
    }
    const { isPrimary, term } = state.endpoints[1]!;
    if (phase === ChangePhase.Ordered && isPrimary) {
        const finished = { sequence, phase: AnnouncementPhase.Finished, endpoint: 1, term };
        yield {
            name: "former holder announces the end",
            state: withFormer(state, { phase: ChangePhase.Promoted, announcement: finished }),
        };
    }
    if (former.isVerified) {
        yield { name: "former verification ends", state: withFormer(state, { isVerified: false }) };
    }
}

function* listTakeovers(state: SuccessionState, rules: SuccessionRules): Generator<SuccessionStep> {
    const { phase, announcement } = state.former;
    if (state.current.phase !== SuccessionPhase.Absent) {
        return;
    }
    const undecided = withCurrent(state, { phase: SuccessionPhase.Undecided });
    const successions = [{ name: "new holder takes over", next: undecided }];
    const isBetweenChanges = phase === ChangePhase.Serving || phase === ChangePhase.Promoted;
    if (isBetweenChanges || !rules.handsOverBetweenChanges) {
        const ended = rules.endsBeforeHandOver
            ? withFormer(undecided, { isVerified: false, phase: ChangePhase.Promoted })
            : undecided;
        successions.push({ name: "former holder hands over", next: withCurrent(ended, { isHandedOver: true }) });
    }
    for (const { name, next } of successions) {
        yield { name: `${name}; the new one knows nothing of the change`, state: next };
        yield {
            name: `${name}; the new one knows the newest announcement`,
            state: withCurrent(next, { announcement }),
        };
    }
}

/** Whether the new holder takes it that the previous one orders nothing more, and no order of it may take effect. */
function areFormerOrdersOver({ former, current, endpoints }: SuccessionState, rules: SuccessionRules): boolean {
    return !rules.waitsForFormerOrders
        || current.isHandedOver
        || !former.isVerified && endpoints.every(({ isOrdered }) => !isOrdered);
}

function mayAct(state: SuccessionState, rules: SuccessionRules): boolean {
    return state.current.phase === SuccessionPhase.Undecided && areFormerOrdersOver(state, rules);
}

function nextSequence({ current }: SuccessionState): number {
    return Math.max(current.announcement.sequence, announcementsPerHolder) + 1;
}

/** The new holder asks the endpoints; without a definite answer it brings the group into a new term. */
function* listDecisions(state: SuccessionState, rules: SuccessionRules): Generator<SuccessionStep> {
    if (!mayAct(state, rules)) {
        return;
    }
    for (const [index, { isPrimary, term }] of state.endpoints.entries()) {
        const isUndisputed = state.endpoints.every(other => other.term <= term);
        if (isPrimary && (isUndisputed || !rules.changesIndefinite)) {
            const decided = { sequence: nextSequence(state), phase: AnnouncementPhase.Finished, endpoint: index, term };
            yield {
                name: `new holder announces that ${index} leads with term ${term}`,
                state: withCurrent(state, { phase: SuccessionPhase.Decided, announcement: decided }),
            };
        }
        const begun = {
            ...state.current.announcement,
            sequence: nextSequence(state),
            phase: AnnouncementPhase.Begun,
        };
        yield {
            name: `new holder announces a change to ${index}`,
            state: withCurrent(state, { phase: SuccessionPhase.Announced, target: index, announcement: begun }),
        };
    }
}

function* listOrders(state: SuccessionState, rules: SuccessionRules): Generator<SuccessionStep> {
    const { current, former, lease, received, endpoints } = state;
    const { phase, target, announcement } = current;
    const mayHaveFormerLease = former.isVerified || lease === SuccessionLease.Former;
    const hasCurrentLease = lease === SuccessionLease.Current && received.sequence < announcement.sequence;
    if (
        phase === SuccessionPhase.Announced && !hasCurrentLease && !(rules.countsFormerLeases && mayHaveFormerLease)
    ) {
        const ordered = withCurrent(state, { phase: SuccessionPhase.Ordered, termBeforeOrder: highestTerm(state) });
        yield {
            name: `new holder orders to promote ${target}`,
            state: withEndpoint(ordered, target, { isOrdered: true }),
        };
    }
    const { isPrimary, term } = endpoints[target]!;
    if (phase === SuccessionPhase.Ordered && isPrimary && term > current.termBeforeOrder) {
        const finished = { sequence: nextSequence(state), phase: AnnouncementPhase.Finished, endpoint: target, term };
        yield {
            name: `new holder announces the end of the change to ${target}`,
            state: withCurrent(state, { phase: SuccessionPhase.Decided, announcement: finished }),
        };
    }
}

function* listEndpointSteps(state: SuccessionState): Generator<SuccessionStep> {
    for (const [index, { isOrdered, isPrimary, term }] of state.endpoints.entries()) {
        if (isOrdered) {
            const next = highestTerm(state) + 1;
            const promoted = { isPrimary: true, isOrdered: false, term: next };
            yield { name: `${index} leads with term ${next}`, state: withEndpoint(state, index, promoted) };
            const lost = withEndpoint(state, index, { isOrdered: false });
            yield { name: `order to promote ${index} is lost`, state: lost };
        }
        if (isPrimary && term < highestTerm(state)) {
            yield { name: `${index} steps down`, state: withEndpoint(state, index, { isPrimary: false }) };
        }
    }
}

function* listVmSteps(state: SuccessionState, rules: SuccessionRules): Generator<SuccessionStep> {
    const { former, current } = state;
    for (const { announcement } of [former, current]) {
        if (announcement.sequence > state.received.sequence) {
            yield {
                name: `VM receives announcement ${announcement.sequence}`,
                state: { ...state, received: announcement },
            };
        }
    }
    if (former.isVerified) {
        yield { name: "former holder grants a lease", state: grantLease(state, SuccessionLease.Former) };
    }
    const mayVouch = current.phase !== SuccessionPhase.Absent
        && (current.phase !== SuccessionPhase.Undecided || areFormerOrdersOver(state, rules))
        && (!rules.queriesBeforeVouching || current.phase === SuccessionPhase.Decided);
    if (mayVouch) {
        yield { name: "new holder grants a lease", state: grantLease(state, SuccessionLease.Current) };
    }
    if (state.lease !== SuccessionLease.None) {
        yield { name: "lease ends", state: { ...state, lease: SuccessionLease.None } };
    }
}

/** The answer that grants a lease brings the newest announcement that its sender knows. */
function grantLease(state: SuccessionState, lease: SuccessionLease): SuccessionState {
    const { announcement } = lease === SuccessionLease.Former ? state.former : state.current;
    const isNewer = announcement.sequence > state.received.sequence;
    return { ...state, lease, received: isNewer ? announcement : state.received };
}

/** Only a write that a superseded endpoint commits matters; queried endpoints refuse it. */
function* listWriteSteps(state: SuccessionState): Generator<SuccessionStep> {
    const { write, received, lease } = state;
    if (write === WritePhase.Waiting) {
        for (const [index, { isPrimary, term }] of state.endpoints.entries()) {
            if (isPrimary && term < highestTerm(state)) {
                const committed = { write: WritePhase.Committed, writeEndpoint: index, writeTerm: term };
                yield { name: `${index} commits with term ${term}`, state: { ...state, ...committed } };
            }
        }
    }
    const isVouchedFor = lease !== SuccessionLease.None
        && received.phase !== AnnouncementPhase.Begun
        && received.endpoint === state.writeEndpoint
        && state.writeTerm >= received.term;
    if (write === WritePhase.Committed && isVouchedFor) {
        yield { name: "lease vouches", state: { ...state, write: WritePhase.Acknowledged } };
    }
}
