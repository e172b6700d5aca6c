import type { Clock } from "../../clock/types/Clock.js";
import { callerSessionConstants } from "../constants.js";
import type { GracefulStop } from "../types/GracefulStop.js";
import { StopPhase } from "../types/StopPhase.js";

/** A phase and the time after the signal to stop at which it begins, in milliseconds. */
interface PhaseStart {
    readonly phase: StopPhase;
    readonly afterMilliseconds: number;
}

/**
 * Creates the time table of a VM's graceful stop.
 *
 * @param clock Source of time.
 * @param graceMilliseconds Time from the signal to stop until the process is killed.
 * @returns The stop, not begun.
 *
 * @example
 * const stop = createGracefulStop(clock, 6_000);
 * stop.begin();
 * stop.phase(); // => StopPhase.Leaving
 */
export function createGracefulStop(clock: Clock, graceMilliseconds: number): GracefulStop {
    const {
        idleCloseDelayMilliseconds,
        idleCloseGraceShare,
        refusalGraceShare,
        waitGraceShare,
        transactionGraceShare,
        answerGraceShare,
    } = callerSessionConstants;
    const phaseStarts: readonly PhaseStart[] = [
        { phase: StopPhase.Ending, afterMilliseconds: answerGraceShare * graceMilliseconds },
        { phase: StopPhase.Aborting, afterMilliseconds: transactionGraceShare * graceMilliseconds },
        { phase: StopPhase.Refusing, afterMilliseconds: refusalGraceShare * graceMilliseconds },
        {
            phase: StopPhase.Draining,
            afterMilliseconds: Math.min(idleCloseDelayMilliseconds, idleCloseGraceShare * graceMilliseconds),
        },
        { phase: StopPhase.Leaving, afterMilliseconds: 0 },
    ];
    const waits = new AbortController();
    let begunAt: number | undefined;
    let isFinished = false;

    function phase(): StopPhase {
        if (begunAt === undefined) {
            return StopPhase.Serving;
        }
        if (isFinished) {
            return StopPhase.Ending;
        }
        const elapsed = clock.now() - begunAt;
        return phaseStarts.find(({ afterMilliseconds }) => elapsed >= afterMilliseconds)?.phase ?? StopPhase.Leaving;
    }

    function begin(): void {
        begunAt ??= clock.now();
        clock.startTimer(waitGraceShare * graceMilliseconds, () => waits.abort());
    }

    function finish(): void {
        isFinished = true;
    }

    return { phase, waitsEnd: waits.signal, begin, finish };
}
