import type { Clock } from "../../clock/types/Clock.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { EndpointSession } from "../../statements/types/EndpointSession.js";
import { FailureCode } from "../../statements/types/FailureCode.js";
import { SessionState } from "../../statements/types/SessionState.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import type { SlottedEndpoint } from "../types/SlottedEndpoint.js";

/** Options of `createSlottedEndpoint`. */
interface SlottedEndpointOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Statements that run concurrently. */
    readonly slots: number;
    /** Statements that wait for a slot; others are refused. */
    readonly queueLength: number;
    readonly workMilliseconds: number;
}

const refusalMilliseconds = 1;

/**
 * Creates an endpoint for tests with slots, a queue and a work time, on the test's clock.
 *
 * @param options Clock, slots, queue and work time in milliseconds; a statement takes from half of it to one and a half.
 * @returns The endpoint.
 *
 * @example
 * const endpoint = createSlottedEndpoint({ clock, random, slots: 6, queueLength: 0, workMilliseconds: 20 });
 */
export function createSlottedEndpoint(options: SlottedEndpointOptions): SlottedEndpoint {
    const { clock, random } = options;
    const waiting: (() => void)[] = [];
    let running = 0;

    const endpoint: SlottedEndpoint = {
        workMilliseconds: options.workMilliseconds,
        failingShare: 0,
        isHanging: false,
        arrivals: [],
        counts: { refused: 0, answered: 0, failed: 0, mostAtOnce: 0 },
        open,
    };

    async function takeSlot(): Promise<boolean> {
        if (running >= options.slots && waiting.length >= options.queueLength) {
            return false;
        }
        endpoint.counts.mostAtOnce = Math.max(endpoint.counts.mostAtOnce, running + waiting.length + 1);
        if (running >= options.slots) {
            await new Promise<void>(resolve => waiting.push(resolve));
            return true;
        }
        running += 1;
        return true;
    }

    function freeSlot(): void {
        const next = waiting.shift();
        running -= next === undefined ? 1 : 0;
        next?.();
    }

    async function run(): Promise<StatementAnswer> {
        endpoint.arrivals.push(clock.now());
        if (!await takeSlot()) {
            endpoint.counts.refused += 1;
            await clock.sleep(refusalMilliseconds);
            return createFailedAnswer(FailureCode.Busy);
        }
        await clock.sleep(endpoint.workMilliseconds * (0.5 + random.next()));
        freeSlot();
        if (random.next() < endpoint.failingShare) {
            endpoint.counts.failed += 1;
            return createFailedAnswer(FailureCode.Failed);
        }
        endpoint.counts.answered += 1;
        return { rows: [], signature: "s", state: SessionState.Idle };
    }

    function open(): EndpointSession {
        const closeListeners: (() => void)[] = [];
        let isClosed = false;

        function close(): void {
            if (!isClosed) {
                isClosed = true;
                closeListeners.forEach(listener => listener());
            }
        }

        return {
            position: undefined,
            get isClosed() {
                return isClosed;
            },
            exchange: async (_statements, timeoutMilliseconds) => {
                if (!endpoint.isHanging) {
                    return [await run()];
                }
                endpoint.arrivals.push(clock.now());
                await clock.sleep(timeoutMilliseconds);
                close();
                throw createError(ErrorKind.DeadlineExceeded, "The endpoint did not answer in time.", {
                    remedy: "None.",
                });
            },
            close,
            onClose: listener => closeListeners.push(listener),
        };
    }

    return endpoint;
}

function createFailedAnswer(code: FailureCode): StatementAnswer {
    return { rows: [], failure: { code, description: code }, state: SessionState.Idle };
}
