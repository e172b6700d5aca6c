import type { FenceAnswer } from "../../endpoints/types/FenceAnswer.js";

/** Options of `choosePromotionCandidate`. */
interface PromotionOptions {
    /** Number of endpoints that make up a majority of the group. */
    readonly majority: number;
    /** Endpoints that are not chosen if the others are a majority. */
    readonly avoided?: ReadonlySet<string>;
    /** Endpoint that is chosen when no other has a more advanced log. */
    readonly preferred?: string;
}

/**
 * Chooses the endpoint to promote from the answers to a fence.
 *
 * The endpoint with the highest (last entry's term, position) of a fenced majority is chosen. Every acknowledged entry
 * is held by a majority, so at least one endpoint that answered holds it, and so does the chosen one: the first entry
 * of each term is a marker, and nothing is acknowledged before the marker is confirmed. Answers of avoided endpoints
 * are left out while the other answers are a majority by themselves.
 *
 * @param answers Answers of the endpoints fenced at the same term.
 * @param options Size of a majority, endpoints to avoid and an endpoint to prefer among equals.
 * @returns The answer of the endpoint to promote, or undefined when fewer than a majority answered.
 *
 * @example
 * const candidate = choosePromotionCandidate(answers, { majority: 2 });
 */
export function choosePromotionCandidate(
    answers: readonly FenceAnswer[],
    options: PromotionOptions,
): FenceAnswer | undefined {
    const { majority, avoided = new Set<string>(), preferred } = options;
    const unavoided = answers.filter(answer => !avoided.has(answer.endpoint));
    const eligible = unavoided.length >= majority ? unavoided : answers;
    if (eligible.length < majority) {
        return undefined;
    }
    return eligible.reduce((best, answer) => {
        const difference = answer.lastEntryTerm - best.lastEntryTerm || answer.position - best.position;
        const isEqualAndPreferred = difference === 0 && answer.endpoint === preferred;
        return difference > 0 || isEqualAndPreferred ? answer : best;
    });
}
