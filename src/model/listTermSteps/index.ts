import { ChangePhase } from "../types/ChangePhase.js";
import type { LabelledStep } from "../types/LabelledStep.js";
import type { TermEndpoint } from "../types/TermEndpoint.js";
import type { TermRules } from "../types/TermRules.js";
import type { TermState } from "../types/TermState.js";
import { WritePhase } from "../types/WritePhase.js";

type TermStep = LabelledStep<TermState>;

/**
 * Lists the steps that are possible in a state of the model of terms. Messages may be late, a lease may end at any
 * moment, the holder may know less than the term in force, and a record may be old or missing.
 *
 * @param state The state.
 * @param rules The rules of the terms.
 * @returns Yields the steps.
 *
 * @example
 * for (const { state: next } of listTermSteps(state, rules)) { ... }
 */
export function* listTermSteps(state: TermState, rules: TermRules): Generator<TermStep> {
    yield* listHolderSteps(state, rules);
    yield* listEndpointSteps(state, rules);
    yield* listVmSteps(state);
    yield* listWriteSteps(state, rules);
}

function highestTerm({ endpoints }: TermState): number {
    return Math.max(...endpoints.map(({ term }) => term));
}

function withEndpoint(state: TermState, index: number, changes: Partial<TermEndpoint>): TermState {
    return { ...state, endpoints: state.endpoints.with(index, { ...state.endpoints[index]!, ...changes }) };
}

function withHolder(state: TermState, changes: Partial<TermState["holder"]>): TermState {
    return { ...state, holder: { ...state.holder, ...changes } };
}

function withVm(state: TermState, changes: Partial<TermState["vm"]>): TermState {
    return { ...state, vm: { ...state.vm, ...changes } };
}

function withWrite(state: TermState, changes: Partial<TermState["write"]>): TermState {
    return { ...state, write: { ...state.write, ...changes } };
}

function* listHolderSteps(state: TermState, rules: TermRules): Generator<TermStep> {
    const { endpoints, holder, vm } = state;
    const { phase, successor, announcement } = holder;
    const sequence = announcement.sequence + 1;
    if (phase === ChangePhase.Serving) {
        for (let term = holder.knownTerm + 1; term <= highestTerm(state); term += 1) {
            yield { name: `holder learns of term ${term}`, state: withHolder(state, { knownTerm: term }) };
        }
        const next = holder.successor + 1;
        if (next <= state.scope.changes) {
            const begun = {
                phase: ChangePhase.Announced,
                successor: next,
                derivedTerm: holder.knownTerm + 1,
                isAnswered: false,
                mustCopyWrite: false,
                announcement: { sequence, endpoint: undefined, term: 0 },
            };
            yield { name: `change to ${next} begins`, state: withHolder(state, begun) };
        }
    }
    const mayOrder = (!vm.hasLease || vm.announcement.sequence === announcement.sequence)
        && (!holder.mustCopyWrite || endpoints[successor]!.holdsWrite);
    if (phase === ChangePhase.Announced && mayOrder) {
        yield {
            name: `promotion of ${successor} is ordered`,
            state: withHolder(state, { phase: ChangePhase.Ordered }),
        };
    }
    if (phase === ChangePhase.Promoted) {
        const term = rules.announcesReportedTerm ? endpoints[successor]!.term : holder.derivedTerm;
        const finished = {
            phase: ChangePhase.Serving,
            primary: successor,
            knownTerm: Math.max(holder.knownTerm, term),
            announcement: { sequence, endpoint: successor, term },
        };
        yield { name: `end of the change to ${successor} with term ${term}`, state: withHolder(state, finished) };
    }
}

function* listEndpointSteps(state: TermState, rules: TermRules): Generator<TermStep> {
    const { endpoints, holder } = state;
    if (holder.phase === ChangePhase.Ordered) {
        const term = highestTerm(state) + 1;
        const promoted = withEndpoint(state, holder.successor, { isPrimary: true, term });
        yield {
            name: `${holder.successor} leads with term ${term}`,
            state: withHolder(promoted, { phase: ChangePhase.Promoted }),
        };
    }
    if (holder.phase !== ChangePhase.Serving) {
        yield* listStepDowns(state, rules);
    }
    const leader = endpoints.findIndex(({ isPrimary, term }) => isPrimary && term === highestTerm(state));
    for (const [index, endpoint] of endpoints.entries()) {
        if (leader !== -1 && endpoint.term < endpoints[leader]!.term && !endpoint.isPrimary) {
            const { term } = endpoints[leader]!;
            yield { name: `${index} learns of term ${term}`, state: withEndpoint(state, index, { term }) };
        }
    }
    if (holder.phase === ChangePhase.Announced && holder.mustCopyWrite) {
        const copied = withEndpoint(state, holder.successor, { holdsWrite: true });
        yield { name: `${holder.successor} receives the write`, state: copied };
    }
}

/** The primary steps down for the change in progress; the order may also take effect late, or never. */
function* listStepDowns(state: TermState, rules: TermRules): Generator<TermStep> {
    const { primary, phase, derivedTerm } = state.holder;
    const endpoint = state.endpoints[primary]!;
    const isObeyed = rules.stepsDownAboveReportedTerm || derivedTerm > endpoint.term;
    const ordered = isObeyed ? withEndpoint(state, primary, { isPrimary: false }) : state;
    yield { name: `${primary} steps down late`, state: ordered };
    if (phase === ChangePhase.Announced) {
        const answered = withHolder(ordered, { isAnswered: true, mustCopyWrite: endpoint.holdsWrite });
        yield { name: `${primary} answers the order to step down`, state: answered };
    }
}

function* listVmSteps(state: TermState): Generator<TermStep> {
    const { endpoints, holder, vm, scope } = state;
    const { announcement } = holder;
    const received = {
        announcement,
        knownTerm: Math.max(vm.knownTerm, announcement.term),
    };
    yield { name: "VM gets a lease", state: withVm(state, { ...received, hasLease: true }) };
    yield { name: "VM receives the announcement", state: withVm(state, received) };
    yield { name: "lease ends", state: withVm(state, { hasLease: false }) };
    for (const [index, { isPrimary, term }] of endpoints.entries()) {
        if (term > vm.knownTerm) {
            yield { name: `VM observes term ${term} at ${index}`, state: withVm(state, { knownTerm: term }) };
        }
        if (isPrimary !== vm.registered[index]) {
            const registered = vm.registered.with(index, isPrimary);
            yield { name: `VM gets the record of ${index}`, state: withVm(state, { registered }) };
        }
        // Only a VM that has heard of the endpoint's promotion, or observed its term, loses the endpoint's record.
        const isKnown = vm.announcement.endpoint === index || term > scope.firstTerm && vm.knownTerm >= term;
        if (index === 1 && scope.mayLoseRecord && vm.listed[index] && isKnown) {
            const listed = vm.listed.with(index, false);
            yield { name: `record of ${index} vanishes`, state: withVm(state, { listed }) };
        }
    }
}

/** The endpoints that the VM may take for the primary. */
function listKnownPrimaries({ vm }: TermState): readonly number[] {
    const { endpoint, term } = vm.announcement;
    if (endpoint !== undefined && vm.knownTerm <= term && vm.listed[endpoint]) {
        return [endpoint];
    }
    return [...vm.registered.keys()].filter(index => vm.registered[index] && vm.listed[index]);
}

function isVouchedFor(state: TermState, rules: TermRules): boolean {
    const { vm, write } = state;
    const { sequence, endpoint, term } = vm.announcement;
    const isUnfinished = sequence > 0 && endpoint === undefined;
    const knownPrimaries = listKnownPrimaries(state);
    const hasEnd = endpoint !== undefined;
    return vm.hasLease && !isUnfinished
        && knownPrimaries.length === 1 && knownPrimaries[0] === write.endpoint
        && (!rules.comparesTermUnderLease || write.term >= vm.knownTerm)
        && (!rules.distrustsOlderEnd || !hasEnd || term >= Math.max(vm.knownTerm, write.term));
}

function* listWriteSteps(state: TermState, rules: TermRules): Generator<TermStep> {
    const { endpoints, write } = state;
    const { phase } = write;
    if (phase === WritePhase.Waiting) {
        for (const endpoint of listKnownPrimaries(state)) {
            yield {
                name: `write is sent to ${endpoint}`,
                state: withWrite(state, { phase: WritePhase.Sent, endpoint }),
            };
        }
    }
    if (phase === WritePhase.Sent && endpoints[write.endpoint]!.isPrimary) {
        const { term } = endpoints[write.endpoint]!;
        const committed = { phase: WritePhase.Committed, term, isSuperseded: term < highestTerm(state) };
        yield {
            name: `${write.endpoint} commits with term ${term}`,
            state: withWrite(withEndpoint(state, write.endpoint, { holdsWrite: true }), committed),
        };
    }
    if (phase === WritePhase.Committed) {
        if (isVouchedFor(state, rules)) {
            yield { name: "lease vouches", state: withWrite(state, { phase: WritePhase.Acknowledged }) };
        }
        yield* listQueries(state, rules);
    }
}

/** Queries the other endpoints one after the other; the write is acknowledged when none of them leads. */
function* listQueries(state: TermState, rules: TermRules): Generator<TermStep> {
    const { endpoints, vm, write } = state;
    const others = [...endpoints.keys()].filter(index => index !== write.endpoint && vm.listed[index]);
    if (others.length > 0 && others.every(index => write.queried[index])) {
        if (!rules.comparesTermsOfQueried || write.term >= vm.knownTerm) {
            yield { name: "no other endpoint leads", state: withWrite(state, { phase: WritePhase.Acknowledged }) };
        }
        return;
    }
    for (const index of others) {
        const { isPrimary, term } = endpoints[index]!;
        const isHigher = rules.comparesTermsOfQueried && term > write.term;
        if (!write.queried[index] && !isPrimary && !isHigher) {
            const queried = write.queried.with(index, true);
            yield { name: `${index} is queried and does not lead`, state: withWrite(state, { queried }) };
        }
    }
}
