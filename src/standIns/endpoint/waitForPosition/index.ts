import type { Clock } from "../../../clock/types/Clock.js";
import { EndpointRefusal } from "../../../endpoints/types/EndpointRefusal.js";
import type { StatementCall } from "../../../endpoints/types/StatementCall.js";
import { createRefusal } from "../createRefusal/index.js";
import type { EndpointLog } from "../types/EndpointLog.js";
import type { TermState } from "../types/TermState.js";

/** Options of `waitForPosition`. */
interface WaitForPositionOptions {
    readonly log: EndpointLog;
    readonly terms: TermState;
    readonly clock: Clock;
}

/**
 * Waits until the log has reached the least position of a call.
 *
 * @param call Term, least position and the maximum wait in milliseconds.
 * @param options Log, terms and clock.
 * @throws TarragonpostError of kind `EndpointRefused`: `Behind` after the wait, `WrongTerm` after a change of the term.
 *
 * @example
 * await waitForPosition({ term: 3, leastPosition: 120, waitMilliseconds: 20 }, { log, terms, clock });
 */
export async function waitForPosition(
    call: Pick<StatementCall, "term" | "leastPosition" | "waitMilliseconds">,
    options: WaitForPositionOptions,
): Promise<void> {
    const { log, terms, clock } = options;
    if (log.position() >= call.leastPosition) {
        return;
    }
    const waitController = new AbortController();
    const checkPosition = (): void => {
        if (log.position() >= call.leastPosition || terms.term() !== call.term) {
            waitController.abort();
        }
    };
    const subscriptions = [log.onChange(checkPosition), terms.onChange(checkPosition)];
    await clock.sleep(call.waitMilliseconds, waitController.signal);
    for (const unsubscribe of subscriptions) {
        unsubscribe();
    }
    terms.requireServing(call.term, false);
    if (log.position() < call.leastPosition) {
        throw createRefusal(
            EndpointRefusal.Behind,
            `The endpoint holds position ${log.position()} and has not reached ${call.leastPosition}.`,
            { term: terms.term(), position: log.position() },
        );
    }
}
