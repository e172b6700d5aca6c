import type { LabelledStep } from "../types/LabelledStep.js";
import type { QuotaGrantState } from "../types/QuotaGrantState.js";
import { QuotaProtection } from "../types/QuotaProtection.js";

type QuotaStep = LabelledStep<QuotaGrantState>;
type GrantedVm = QuotaGrantState["vms"][number];

const grantDuration = 2;
const lowerLimit = 1;
const ended = { held: 0, left: 0 };

/**
 * Lists the steps that are possible in a state of the model of quotas. The limit of a bucket is its burst; one operation
 * becomes available in each unit of time. Any message may be lost or late, any VM may pause or be suspended, the holder may
 * change once and the limit may be lowered once, at any time.
 *
 * @param state The state.
 * @param firstLimit The limit before it is lowered.
 * @param omitted A protection that is left out.
 * @returns Yields the steps.
 *
 * @example
 * for (const { state: next } of listQuotaSteps(state, 3)) { ... }
 */
export function* listQuotaSteps(
    state: QuotaGrantState,
    firstLimit: number,
    omitted?: QuotaProtection,
): Generator<QuotaStep> {
    yield* listTimeSteps(state, firstLimit, omitted);
    yield* listHolderSteps(state, omitted);
    for (const index of state.vms.keys()) {
        yield* listVmSteps(state, index, omitted);
        yield* listGrantSteps(state, index);
    }
}

function* listTimeSteps(state: QuotaGrantState, firstLimit: number, omitted?: QuotaProtection): Generator<QuotaStep> {
    const vms = state.vms.map(vm => passTimeAt(vm, omitted));
    yield { name: "time passes", state: passTime(state, vms, firstLimit) };
    if (omitted === QuotaProtection.CountsSuspension) {
        for (const [index, vm] of state.vms.entries()) {
            yield {
                name: `time passes while VM ${index} is suspended`,
                state: passTime(state, vms.with(index, vm), firstLimit),
            };
        }
    }
}

function passTimeAt(vm: GrantedVm, omitted?: QuotaProtection): GrantedVm {
    const left = Math.max(0, vm.left - 1);
    const age = Math.min(vm.age + 1, grantDuration);
    const isKept = left > 0 || omitted === QuotaProtection.NotCarriedOver;
    return normalize({ ...vm, left, age, held: isKept ? vm.held : 0 });
}

/** Gives what no longer matters one value, so that states which behave alike are one. */
function normalize(vm: GrantedVm): GrantedVm {
    const isAsking = vm.demand !== undefined || vm.answer !== undefined;
    return { ...vm, age: isAsking ? vm.age : 0, limit: vm.left > 0 ? vm.limit : 0 };
}

function passTime(state: QuotaGrantState, vms: readonly GrantedVm[], firstLimit: number): QuotaGrantState {
    const bindsIn = Math.max(0, state.bindsIn - 1);
    return limitBucket({
        ...state,
        vms,
        bucket: state.sharesIn > 0 ? state.bucket : state.bucket + 1,
        counted: state.counted.map(({ held, left }) => left <= 1 ? ended : { held, left: left - 1 }),
        sharesIn: Math.max(0, state.sharesIn - 1),
        bindsIn,
        allowed: Math.min(state.allowed + 1, state.isLowered && bindsIn === 0 ? lowerLimit : firstLimit),
    });
}

/** What VMs may hold and the bucket together stay within the limit. */
function limitBucket(state: QuotaGrantState): QuotaGrantState {
    const held = state.counted.reduce((sum, grant) => sum + grant.held, 0);
    return { ...state, bucket: Math.max(0, Math.min(state.bucket, state.limit - held)) };
}

function* listHolderSteps(state: QuotaGrantState, omitted?: QuotaProtection): Generator<QuotaStep> {
    if (!state.hasChangedHolder) {
        yield {
            name: "holder changes",
            state: {
                ...state,
                bucket: omitted === QuotaProtection.CautiousStart ? state.limit : 0,
                counted: state.counted.map(() => ended),
                sharesIn: omitted === QuotaProtection.WaitsForFormerGrants ? 0 : grantDuration,
                hasChangedHolder: true,
            },
        };
    }
    if (!state.isLowered) {
        const lowered = { ...state, limit: lowerLimit, isLowered: true, bindsIn: grantDuration };
        yield { name: "limit is lowered", state: limitBucket(lowered) };
    }
}

function* listVmSteps(state: QuotaGrantState, index: number, omitted?: QuotaProtection): Generator<QuotaStep> {
    const vm = state.vms[index]!;
    const hasGrant = vm.left > 0;
    if (vm.demand === undefined) {
        const asked = { ...vm, demand: { held: hasGrant ? vm.held : 0, hasGrant }, age: 0, answer: undefined };
        yield { name: `VM ${index} sends a demand`, state: withVm(state, index, asked) };
    }
    if (hasGrant && vm.held > 0) {
        const spent = withVm(state, index, { ...vm, held: vm.held - 1 });
        yield { name: `VM ${index} starts an operation`, state: { ...spent, allowed: state.allowed - 1 } };
    }
    if (vm.answer !== undefined) {
        yield { name: `VM ${index} applies a grant`, state: withVm(state, index, applyAnswer(vm, omitted)) };
    }
}

/** Applies the answer to the newest demand; one that only continues a grant does nothing once that has ended. */
function applyAnswer(vm: GrantedVm, omitted?: QuotaProtection): GrantedVm {
    const { operations, most, isContinuation, limit } = vm.answer!;
    const left = omitted === QuotaProtection.EndCountsFromDemand ? grantDuration : grantDuration - vm.age;
    if (left === 0 || isContinuation && vm.left === 0) {
        return normalize({ ...vm, answer: undefined });
    }
    return normalize({ ...vm, held: Math.min(vm.held + operations, most), limit, left, answer: undefined });
}

function* listGrantSteps(state: QuotaGrantState, index: number): Generator<QuotaStep> {
    const vm = state.vms[index]!;
    if (vm.demand === undefined) {
        return;
    }
    const { held, hasGrant } = vm.demand;
    const asking = { ...vm, demand: undefined };
    yield { name: `demand of VM ${index} is lost`, state: withVm(state, index, normalize(asking)) };
    if (state.sharesIn === 0) {
        const { bucket: operations, limit } = state;
        const heldByOthers = state.counted.reduce((sum, grant, other) => sum + (other === index ? 0 : grant.held), 0);
        const most = Math.max(0, Math.min(held + operations, limit - heldByOthers));
        const answer = { operations, most, isContinuation: false, limit };
        const next = withVm(countGrant(state, index, most), index, { ...asking, answer });
        yield { name: `holder grants VM ${index} its bucket`, state: limitBucket({ ...next, bucket: 0 }) };
    }
    else if (hasGrant && vm.limit <= state.limit) {
        const answer = { operations: 0, most: held, isContinuation: true, limit: vm.limit };
        const next = withVm(countGrant(state, index, held), index, { ...asking, answer });
        yield { name: `holder goes on with the grant of VM ${index}`, state: next };
    }
}

function countGrant(state: QuotaGrantState, index: number, held: number): QuotaGrantState {
    return { ...state, counted: state.counted.with(index, { held, left: grantDuration }) };
}

function withVm(state: QuotaGrantState, index: number, vm: GrantedVm): QuotaGrantState {
    return { ...state, vms: state.vms.with(index, vm) };
}
