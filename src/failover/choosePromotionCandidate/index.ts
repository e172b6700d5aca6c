import type { FenceAnswer } from "../../endpoints/types/FenceAnswer.js";

/** Options of `choosePromotionCandidate`. */
interface PromotionOptions {
    /** Endpoints that make up a majority of the group. */
    readonly majority: number;
    /** Endpoints to pass over if a majority remains without them. */
    readonly avoided?: ReadonlySet<string>;
    /** Chosen when it holds as much as any other. */
    readonly preferred?: string;
}

/**
 * Chooses the endpoint to promote from the answers to a fence.
 *
 * It is the one with the highest (last entry's term, position) of a fenced majority. Every acknowledged entry is held
 * by a majority, so one of the answers holds it, and with it the one chosen: the first entry of each term is a marker,
 * and nothing is acknowledged before its confirmation. The answers without the avoided endpoints serve as well while
 * they are a majority themselves.
 *
 * @param answers Answers of the endpoints fenced at the same term.
 * @param options Size of a majority, endpoints to avoid and an endpoint to prefer among equals.
 * @returns The answer of the endpoint to promote, or undefined when the answers are no majority.
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
