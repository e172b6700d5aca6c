import { startElapsedTimer } from "../../clock/startElapsedTimer/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import { classifyAnswers } from "../classifyAnswers/index.js";
import { classifyError } from "../classifyError/index.js";
import { paceConstants } from "../constants.js";
import type { PacedEndpoint } from "../types/PacedEndpoint.js";
import type { PacedUse } from "../types/PacedUse.js";
import { StatementEnd } from "../types/StatementEnd.js";

/** Options of `createPacedUse`. */
interface PacedUseOptions {
    readonly clock: Clock;
    readonly state: PacedEndpoint;
    readonly isProbe: boolean;
    /** Called when a statement has ended, with the latency in milliseconds. */
    readonly onEnd: (end: StatementEnd, latencyMilliseconds: number) => void;
}

/**
 * Creates the use of an endpoint by a request. A statement counts towards the limit from the acquisition of its connection
 * to its answer; a transaction that waits for its caller does not.
 *
 * @param options Clock, state of the endpoint, and listener.
 * @returns The use, begun.
 *
 * @example
 * const use = createPacedUse({ clock, state, isProbe: false, onEnd });
 */
export function createPacedUse(options: PacedUseOptions): PacedUse {
    const { clock, state, isProbe, onEnd } = options;
    let isCounted = false;
    let isFirst = true;
    count();

    function count(): void {
        if (!isCounted) {
            isCounted = true;
            state.pace.begin();
        }
    }

    function finish(end: StatementEnd, latencyMilliseconds: number): void {
        isCounted = false;
        isFirst = false;
        state.pace.end(end, latencyMilliseconds);
        onEnd(end, latencyMilliseconds);
    }

    function beginExchange(): void {
        count();
        if (state.unanswered === 0) {
            state.progressAt = clock.now();
        }
        state.unanswered += 1;
    }

    function endExchange(): void {
        state.unanswered -= 1;
        state.progressAt = clock.now();
    }

    return {
        isProbe,
        observe: async (statements, timeoutMilliseconds, exchange) => {
            beginExchange();
            const elapsed = startElapsedTimer(clock);
            const limit = isProbe && isFirst ? paceConstants.probeTimeoutMilliseconds : Infinity;
            try {
                const answers = await exchange(Math.min(timeoutMilliseconds, limit));
                endExchange();
                const end = classifyAnswers(statements, answers);
                if (end !== undefined) {
                    finish(end, elapsed());
                }
                return answers;
            }
            catch (error) {
                endExchange();
                finish(classifyError(error, elapsed()), elapsed());
                throw error;
            }
        },
        end: () => {
            if (isCounted) {
                finish(StatementEnd.Neutral, 0);
            }
        },
    };
}
