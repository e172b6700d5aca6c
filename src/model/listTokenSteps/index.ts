import type { LabelledStep } from "../types/LabelledStep.js";
import { TokenSource } from "../types/TokenSource.js";
import type { TokenState } from "../types/TokenState.js";

type TokenStep = LabelledStep<TokenState>;

const lastEra = 3;
const lastRevision = 3;
/** Above any revision, so that the era comes first. */
const revisionsPerEra = 10;

const readers: Readonly<Record<TokenSource, (state: TokenState) => number>> = {
    [TokenSource.RecordNumber]: ({ record }) => record.number,
    [TokenSource.Revision]: ({ record }) => record.revision,
    [TokenSource.Version]: ({ era, record }) => era * revisionsPerEra + record.revision,
};

/**
 * Lists the steps that are possible in a state of the model of fencing tokens. A write may take effect at any later time,
 * also in another era, as long as the record has the revision that its sender read. VMs remember nothing.
 *
 * @param state The state.
 * @param source What a holder takes its token from.
 * @returns Yields the steps.
 *
 * @example
 * for (const { state: next } of listTokenSteps(state, TokenSource.Version)) { ... }
 */
export function* listTokenSteps(state: TokenState, source: TokenSource): Generator<TokenStep> {
    yield* listStoreSteps(state);
    for (const vm of state.writes.keys()) {
        yield* listWriteSteps(state, vm);
        if (state.record.holder === vm) {
            yield { name: `VM ${vm} orders`, state: order(state, vm, source) };
        }
    }
}

function* listStoreSteps(state: TokenState): Generator<TokenStep> {
    const { era, record, revision, copy } = state;
    yield { name: "store is copied", state: { ...state, copy: { record, revision } } };
    if (era < lastEra) {
        yield { name: "store is restored", state: { ...state, era: era + 1, ...copy } };
    }
    if (revision < lastRevision) {
        yield { name: "another object changes", state: { ...state, revision: revision + 1 } };
    }
}

function* listWriteSteps(state: TokenState, vm: number): Generator<TokenStep> {
    const { record, revision, writes } = state;
    const write = writes[vm];
    if (write === undefined) {
        yield { name: `VM ${vm} sends a write`, state: { ...state, writes: writes.with(vm, record) } };
        return;
    }
    const remaining = { ...state, writes: writes.with(vm, undefined) };
    if (write.revision !== record.revision) {
        yield { name: `write of VM ${vm} is refused`, state: remaining };
    }
    else if (revision < lastRevision) {
        const replaced = { holder: vm, number: write.number + 1, revision: revision + 1 };
        yield {
            name: `write of VM ${vm} takes effect`,
            state: { ...remaining, revision: revision + 1, record: replaced },
        };
    }
}

function order(state: TokenState, holder: number, source: TokenSource): TokenState {
    const { lastOrder } = state;
    const token = readers[source](state);
    const isViolated = token < lastOrder.token || (token === lastOrder.token && holder !== lastOrder.holder);
    return { ...state, lastOrder: { token, holder }, isViolated: state.isViolated || isViolated };
}
