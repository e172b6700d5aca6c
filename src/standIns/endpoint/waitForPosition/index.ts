import type { Clock } from "../../../clock/types/Clock.js";
import { EndpointRefusal } from "../../../endpoints/types/EndpointRefusal.js";
import type { StatementCall } from "../../../endpoints/types/StatementCall.js";
import { createRefusal } from "../createRefusal/index.js";
import type { EndpointLog } from "../types/EndpointLog.js";
import type { TermState } from "../types/TermState.js";

/** What the wait watches. */
interface WaitForPositionOptions {
    readonly log: EndpointLog;
    readonly terms: TermState;
    readonly clock: Clock;
}

/**
 * Waits until the log holds the least position of a call.
 *
 * @param call Term, least position and the longest wait in milliseconds.
 * @param options Log, terms and clock.
 * @throws TarragonpostError of kind `EndpointRefused`: `Behind` when the wait is over, `WrongTerm` when the term changed.
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
    const settled = new AbortController();
    const look = (): void => {
        if (log.position() >= call.leastPosition || terms.term() !== call.term) {
            settled.abort();
        }
    };
    const stops = [log.onChange(look), terms.onChange(look)];
    await clock.sleep(call.waitMilliseconds, settled.signal);
    for (const stop of stops) {
        stop();
    }
    terms.requireServing(call.term, false);
    if (log.position() < call.leastPosition) {
        throw createRefusal(
            EndpointRefusal.Behind,
            `The endpoint holds position ${log.position()}, not yet ${call.leastPosition}.`,
            { term: terms.term(), position: log.position() },
        );
    }
}
