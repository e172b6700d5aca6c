import { comparePositions } from "../../statements/comparePositions/index.js";
import type { LogPosition } from "../../statements/types/LogPosition.js";
import type { LabelledStep } from "../types/LabelledStep.js";
import type { LogTermEndpoint } from "../types/LogTermEndpoint.js";
import type { LogTermRules } from "../types/LogTermRules.js";
import type { LogTermState } from "../types/LogTermState.js";

type LogTermStep = LabelledStep<LogTermState>;

/**
 * Lists the steps that are possible in a state of the model of logs of different terms. A replica may receive nothing for
 * any time, and an endpoint that crashes returns or not. A promotion is announced as soon as it takes effect, and the
 * holder asks the leader after each commit, unless the leader is lost before it was ever asked.
 *
 * @param state The state.
 * @param rules The rules of the holder.
 * @returns Yields the steps.
 *
 * @example
 * for (const { state: next } of listLogTermSteps(state, rules)) { ... }
 */
export function* listLogTermSteps(state: LogTermState, rules: LogTermRules): Generator<LogTermStep> {
    yield* listLeaderSteps(state);
    yield* listEndpointSteps(state);
    yield* listHolderSteps(state, rules);
    yield* listPromotions(state, rules);
}

function withEndpoint(state: LogTermState, index: number, changes: Partial<LogTermEndpoint>): LogTermState {
    return { ...state, endpoints: state.endpoints.with(index, { ...state.endpoints[index]!, ...changes }) };
}

function* listLeaderSteps(state: LogTermState): Generator<LogTermStep> {
    const { endpoints, leader, term, knownEnd, commitsLeft } = state;
    const { isRunning, logEnd } = endpoints[leader]!;
    if (!isRunning) {
        return;
    }
    if (commitsLeft > 0) {
        const committed = { term, entry: logEnd.entry + 1 };
        const next = {
            ...state,
            commitsLeft: commitsLeft - 1,
            knownEnd: knownEnd.length === 0 ? knownEnd : [committed],
        };
        yield { name: `${leader} commits in term ${term}`, state: withEndpoint(next, leader, { logEnd: committed }) };
    }
    for (const [index, replica] of endpoints.entries()) {
        if (index !== leader && replica.isRunning) {
            yield { name: `${index} receives the log`, state: withEndpoint(state, index, { logEnd }) };
        }
    }
}

function* listEndpointSteps(state: LogTermState): Generator<LogTermStep> {
    for (const [index, { isRunning, mayReturn }] of state.endpoints.entries()) {
        if (isRunning && state.crashesLeft > 0) {
            const next = { ...state, crashesLeft: state.crashesLeft - 1 };
            yield {
                name: `${index} crashes`,
                state: withEndpoint(next, index, { isRunning: false, mayReturn: true }),
            };
            yield { name: `${index} is lost`, state: withEndpoint(next, index, { isRunning: false }) };
        }
        if (!isRunning && mayReturn) {
            yield {
                name: `${index} returns with its log`,
                state: withEndpoint(state, index, { isRunning: true, mayReturn: false }),
            };
        }
    }
}

function* listHolderSteps(state: LogTermState, rules: LogTermRules): Generator<LogTermStep> {
    const { isRunning, logEnd } = state.endpoints[state.leader]!;
    if (isRunning) {
        yield { name: "holder asks the leader", state: { ...state, knownEnd: [logEnd] } };
    }
    if (state.mayChangeHolder) {
        const announcedTerm = rules.learnsAnnouncement ? state.term : 0;
        yield {
            name: "another VM becomes the holder",
            state: { ...state, mayChangeHolder: false, announcedTerm, knownEnd: [] },
        };
    }
}

/** Whether the holder takes a log for one of the newest branch. */
function countsAsNewest(
    { term, entry }: LogPosition,
    { announcedTerm, knownEnd: [knownEnd] }: LogTermState,
    rules: LogTermRules,
): boolean {
    if (knownEnd === undefined) {
        return !rules.countsAnnouncedTerm || term >= announcedTerm;
    }
    const isBeforeBranch = knownEnd.term < announcedTerm
        && (!rules.comparesBranches || comparePositions({ term, entry }, knownEnd) <= 0);
    return term >= announcedTerm || isBeforeBranch;
}

/** Whether a log is of the newest branch: it has an entry of the term, or lacks nothing but entries of it. */
function isOnNewestBranch(logEnd: LogPosition, { term, branchStart, endpoints, leader }: LogTermState): boolean {
    const hasCommits = endpoints[leader]!.logEnd.term === term;
    return logEnd.term === term || !hasCommits && comparePositions(logEnd, branchStart) <= 0;
}

/** A lost leader is replaced by any endpoint that answers; others that run may not answer at the moment. */
function* listPromotions(state: LogTermState, rules: LogTermRules): Generator<LogTermStep> {
    const { endpoints, leader } = state;
    if (endpoints[leader]!.isRunning) {
        return;
    }
    const term = state.term + 1;
    const hasNewestLog = ({ logEnd }: LogTermEndpoint, index: number): boolean =>
        index === leader || logEnd.term === state.term;
    const isBranchExpected = endpoints.some((endpoint, index) =>
        (endpoint.isRunning || endpoint.mayReturn) && hasNewestLog(endpoint, index)
    );
    // The time for which the holder waits is longer than a crash from which an endpoint returns.
    const mayWait = !rules.endsWait
        || endpoints.some(({ isRunning, mayReturn, logEnd }) =>
            mayReturn || isRunning && countsAsNewest(logEnd, state, rules)
        );
    for (const [index, { isRunning, logEnd }] of endpoints.entries()) {
        const isWaiting = rules.waitsForNewestBranch && !countsAsNewest(logEnd, state, rules) && mayWait;
        if (isRunning && !isWaiting) {
            yield {
                name: `${index} is promoted to term ${term}`,
                state: {
                    ...state,
                    leader: index,
                    term,
                    branchStart: logEnd,
                    announcedTerm: term,
                    knownEnd: [],
                    hasLeftBranch: !isOnNewestBranch(logEnd, state) && isBranchExpected,
                },
            };
        }
    }
}
