import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import { listAcknowledgeableEntries } from "../listAcknowledgeableEntries/index.js";
import type { ModelAttempt } from "../types/ModelAttempt.js";
import type { ModelEndpoint } from "../types/ModelEndpoint.js";
import type { ModelRules } from "../types/ModelRules.js";
import type { ModelState } from "../types/ModelState.js";
import type { ModelStep } from "../types/ModelStep.js";

/** Changes one endpoint, and the log length that it reports to the term that it then serves. */
function withEndpoint(state: ModelState, number: number, changes: Partial<ModelEndpoint>): ModelState {
    const endpoint = { ...state.endpoints[number] as ModelEndpoint, ...changes };
    const endpoints = state.endpoints.with(number, endpoint);
    const attempt = state.attempts[endpoint.term - 1];
    if (attempt === undefined || (attempt.reported[number] ?? 0) >= endpoint.log.length) {
        return { ...state, endpoints };
    }
    const reported = attempt.reported.with(number, endpoint.log.length);
    return { ...state, endpoints, attempts: state.attempts.with(endpoint.term - 1, { ...attempt, reported }) };
}

function withAttempt(state: ModelState, term: number, changes: Partial<ModelAttempt>): ModelState {
    const attempt = { ...state.attempts[term - 1] as ModelAttempt, ...changes };
    return { ...state, attempts: state.attempts.with(term - 1, attempt) };
}

function* listFences(state: ModelState, term: number, rules: ModelRules): Generator<ModelStep> {
    const attempt = state.attempts[term - 1];
    if (attempt === undefined || attempt.primary !== undefined) {
        return;
    }
    for (const [number, endpoint] of state.endpoints.entries()) {
        if (endpoint.fencedTerm < term) {
            const answer = rules.answerFence(endpoint, String(number));
            const fenced = { role: EndpointRole.Detached, term: 0, followedTerm: 0, fencedTerm: term };
            const answered = withAttempt(state, term, { answers: [...attempt.answers, answer] });
            yield { name: `fence ${term} ${number}`, state: withEndpoint(answered, number, fenced) };
        }
    }
    const candidate = rules.choosePromotionCandidate(attempt.answers, rules);
    const primary = Number(candidate?.endpoint);
    const chosen = state.endpoints[primary];
    if (chosen !== undefined && chosen.fencedTerm === term) {
        const promoted = { role: EndpointRole.Primary, term, startLength: chosen.log.length };
        yield {
            name: `promote ${term}`,
            state: withEndpoint(withAttempt(state, term, { primary }), primary, promoted),
        };
    }
}

function* listWrites(state: ModelState, term: number, rules: ModelRules): Generator<ModelStep> {
    const number = state.attempts[term - 1]?.primary ?? -1;
    const primary = state.endpoints[number];
    if (primary === undefined || primary.role !== EndpointRole.Primary || primary.term !== term) {
        return;
    }
    const isMarked = !rules.hasMarker || primary.log.includes(-term);
    if (!isMarked) {
        yield { name: `mark ${term}`, state: withEndpoint(state, number, { log: [...primary.log, -term] }) };
    }
    else if (!primary.log.includes(term)) {
        yield { name: `write ${term}`, state: withEndpoint(state, number, { log: [...primary.log, term] }) };
    }
}

/** Lists the steps of replicas: they are ordered to follow, cut their log to the shared part, and copy entries. */
function* listReplications(state: ModelState, term: number, rules: ModelRules): Generator<ModelStep> {
    const primaryNumber = state.attempts[term - 1]?.primary;
    const primary = state.endpoints[primaryNumber ?? -1];
    if (primaryNumber === undefined || primary === undefined) {
        return;
    }
    const isServing = primary.role === EndpointRole.Primary && primary.term === term;
    const serves = (length: number): boolean => !rules.requiresWholeStartingLog || length >= primary.startLength;
    for (const [number, endpoint] of state.endpoints.entries()) {
        if (number === primaryNumber) {
            continue;
        }
        if (endpoint.followedTerm !== term) {
            if (endpoint.fencedTerm <= term) {
                const ordered = { role: EndpointRole.Replica, term: 0, followedTerm: term, fencedTerm: term };
                const followed = withEndpoint(state, number, { ...ordered, isSynchronized: false });
                yield { name: `follow ${term} ${number}`, state: followed };
            }
        }
        else if (isServing && !endpoint.isSynchronized) {
            const differing = endpoint.log.findIndex((entry, index) => entry !== primary.log[index]);
            const log = differing === -1 ? endpoint.log : endpoint.log.slice(0, differing);
            const cut = { log, isSynchronized: true, term: serves(log.length) ? term : 0 };
            yield { name: `cut ${term} ${number}`, state: withEndpoint(state, number, cut) };
        }
        else if (isServing && endpoint.log.length < primary.log.length) {
            const log = primary.log.slice(0, endpoint.log.length + 1);
            const copied = withEndpoint(state, number, { log, term: serves(log.length) ? term : 0 });
            yield { name: `copy ${term} ${number}`, state: copied };
        }
    }
}

/**
 * Lists the possible next steps: a fence, a promotion, a marker, a write, an order to follow, a step of the
 * replication, or an acknowledgement.
 *
 * Coordinators of different terms act concurrently, and any of them may stop after any step.
 *
 * @param state The state before the step.
 * @param rules The rules.
 * @returns Yields each possible next step.
 *
 * @example
 * for (const step of listModelSteps(state, rules)) { visit(step.state); }
 */
export function* listModelSteps(state: ModelState, rules: ModelRules): Generator<ModelStep> {
    for (let term = 1; term <= state.attempts.length; term += 1) {
        yield* listFences(state, term, rules);
        yield* listWrites(state, term, rules);
        yield* listReplications(state, term, rules);
        for (const entry of listAcknowledgeableEntries(state, term, rules)) {
            const acknowledged = [...state.acknowledged, entry].sort();
            yield { name: `acknowledge ${term} ${entry}`, state: { ...state, acknowledged } };
        }
    }
}
