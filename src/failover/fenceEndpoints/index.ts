import type { FenceAnswer } from "../../endpoints/types/FenceAnswer.js";
import { failoverConstants } from "../constants.js";
import { readRefusedTerm } from "../readRefusedTerm/index.js";
import type { CoordinatedGroup } from "../types/CoordinatedGroup.js";
import type { FenceResult } from "../types/FenceResult.js";

/**
 * Fences all endpoints of a group at a term concurrently.
 *
 * Returns a short grace period after a majority, not counting avoided endpoints, has answered; otherwise when every
 * call has ended.
 *
 * @param group The group.
 * @param term The term.
 * @param avoided Endpoints whose answers do not count for the early return.
 * @returns The answers, and the highest term named in a refusal.
 *
 * @example
 * const { answers } = await fenceEndpoints(group, 5, new Set(["stock-1"]));
 */
export async function fenceEndpoints(
    group: CoordinatedGroup,
    term: number,
    avoided: ReadonlySet<string>,
): Promise<FenceResult> {
    const answers: FenceAnswer[] = [];
    let higherTerm: number | undefined;
    let resolveMajority = (): void => {};
    const majorityReached = new Promise<void>(resolve => {
        resolveMajority = resolve;
    });

    const calls = [...group.probes.values()].map(async probe => {
        try {
            answers.push(
                await probe.withConnection(connection =>
                    connection.fence(term, failoverConstants.fenceTimeoutMilliseconds)
                ),
            );
        }
        catch (error) {
            const refusedTerm = readRefusedTerm(error);
            higherTerm = refusedTerm === undefined ? higherTerm : Math.max(higherTerm ?? 0, refusedTerm);
        }
        if (answers.filter(answer => !avoided.has(answer.endpoint)).length >= group.majority) {
            resolveMajority();
        }
    });

    const graceOver = majorityReached.then(() =>
        group.dependencies.clock.sleep(failoverConstants.fenceGraceMilliseconds)
    );
    await Promise.race([Promise.all(calls), graceOver]);
    return { answers: [...answers], higherTerm };
}
