import { createAdaptiveLimit } from "../../admission/createAdaptiveLimit/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import { paceConstants } from "../constants.js";
import { createFailureMemory } from "../createFailureMemory/index.js";
import { createLatencyTrend } from "../createLatencyTrend/index.js";
import type { EndpointPace } from "../types/EndpointPace.js";
import { StatementEnd } from "../types/StatementEnd.js";

/**
 * Creates the pace of one endpoint: a limit on the statements that this VM runs there, found from how it answers.
 *
 * Without evidence the limit is that of the connections. After a start, a return or a change of primary it begins low
 * and grows with each good answer. A refusal, silence or a latency far above the baseline reduces it at once. After a
 * while without any of these it is lifted.
 *
 * @param clock Source of time.
 * @param share Returns the share of the endpoint's slots that falls to this VM, in statements.
 * @returns The pace, without a limit in force.
 *
 * @example
 * if (pace.millisecondsUntilFree() === 0) { pace.begin(); ... pace.end(StatementEnd.Answered, 28); }
 */
export function createEndpointPace(clock: Clock, share: () => number): EndpointPace {
    const { unlimitedStatements, decreaseFactor, decreaseIntervalMilliseconds, increaseStatements } = paceConstants;
    const trend = createLatencyTrend(clock);
    const limit = createAdaptiveLimit(clock, {
        initialLimit: unlimitedStatements,
        minimumLimit: paceConstants.lowestMinimum,
        maximumLimit: unlimitedStatements,
        decreaseFactor,
        decreaseIntervalMilliseconds,
        increaseRequests: increaseStatements,
        requestMilliseconds: statementMilliseconds,
    });
    const refusals = createFailureMemory(clock, paceConstants.refusalHalfLifeMilliseconds);
    let isStarting = false;
    let badAt = -Infinity;
    let reducedAt = -Infinity;
    let goodAnswers = 0;
    let pausedUntil = -Infinity;

    function statementMilliseconds(): number {
        const { minimumStatementMilliseconds, maximumStatementMilliseconds } = paceConstants;
        return Math.min(
            Math.max(trend.averageMilliseconds(), minimumStatementMilliseconds),
            maximumStatementMilliseconds,
        );
    }

    function minimum(): number {
        const { lowestMinimum, highestMinimum, minimumShare } = paceConstants;
        return Math.min(Math.max(minimumShare * share(), lowestMinimum), highestMinimum);
    }

    function isLimited(): boolean {
        return limit.exactLimit() < unlimitedStatements;
    }

    /** Reduces the limit to a part of what is in use, but never below a floor. */
    function reduce(floor: number): void {
        const now = clock.now();
        badAt = now;
        goodAnswers = 0;
        isStarting &&= limit.exactLimit() < floor;
        if (now - reducedAt >= decreaseIntervalMilliseconds) {
            reducedAt = now;
            const used = Math.min(limit.exactLimit(), Math.max(limit.countInFlight(), floor));
            limit.reset(Math.min(Math.max(used * decreaseFactor, floor), limit.exactLimit()));
        }
    }

    function handleAnswer(latencyMilliseconds: number): void {
        trend.record(latencyMilliseconds);
        refusals.record(false);
        const slowdown = trend.slowdown();
        const isCrowded = limit.countInFlight() >= paceConstants.latencyFloorStatements;
        if (slowdown >= paceConstants.slowFactor && (isStarting || isLimited())) {
            holdBack();
        }
        else if (slowdown >= paceConstants.verySlowFactor && isCrowded) {
            reduce(Math.max(paceConstants.latencyFloorStatements, share()));
            limit.cancel();
        }
        else {
            grow();
        }
    }

    /** Where the endpoint is slow, the limit moves to the VM's share of the slots and stays in force. */
    function holdBack(): void {
        const target = Math.max(paceConstants.slowShare * share(), minimum());
        if (limit.exactLimit() > target) {
            reduce(target);
            limit.cancel();
            return;
        }
        grow();
        limit.reset(Math.min(limit.exactLimit(), target));
        badAt = clock.now();
        goodAnswers = 0;
    }

    function grow(): void {
        goodAnswers += 1;
        if (isStarting) {
            const { startGrowth } = paceConstants;
            const current = limit.exactLimit();
            const isUsed = limit.countInFlight() >= current / 2;
            limit.cancel();
            limit.reset(isUsed ? current + startGrowth * Math.min(current, 1) : current);
        }
        else {
            limit.release(false);
        }
        if (isCalm()) {
            isStarting = false;
            limit.reset(unlimitedStatements);
        }
    }

    function isCalm(): boolean {
        const { liftMilliseconds, liftAnswers } = paceConstants;
        return clock.now() - badAt >= liftMilliseconds && goodAnswers >= liftAnswers;
    }

    const endHandlers: Record<StatementEnd, (latencyMilliseconds: number) => void> = {
        [StatementEnd.Answered]: handleAnswer,
        [StatementEnd.Refused]: handleRefusal,
        [StatementEnd.Silent]: () => {
            endBadly();
            // Silence tells nothing of how much the endpoint takes once it answers again.
            isStarting = true;
        },
        [StatementEnd.Failed]: limit.cancel,
        [StatementEnd.Neutral]: limit.cancel,
    };

    /** Single refusals are left to the retries; a share of them reduces the limit and makes each one pause. */
    function handleRefusal(): void {
        const { toleratedRefusalShare, countedRefusals } = paceConstants;
        refusals.record(true);
        if (refusals.failures() >= countedRefusals && refusals.rate() > toleratedRefusalShare) {
            reduce(Math.max(share(), paceConstants.refusalFloorStatements));
            pausedUntil = clock.now() + paceConstants.refusalPauseShare * statementMilliseconds();
        }
        limit.cancel();
    }

    function endBadly(): void {
        reduce(minimum());
        limit.cancel();
    }

    function restart(): void {
        isStarting = true;
        badAt = clock.now();
        goodAnswers = 0;
        trend.restart();
        limit.reset(Math.max(paceConstants.initialShare * share(), paceConstants.lowestMinimum));
    }

    return {
        millisecondsUntilFree: () =>
            isLimited() ? Math.max(limit.millisecondsUntilFree(), pausedUntil - clock.now(), 0) : 0,
        begin: limit.acquire,
        end: (end, latencyMilliseconds) => endHandlers[end](latencyMilliseconds),
        restart,
        limit: limit.exactLimit,
        isLimited,
        inUse: limit.countInFlight,
        averageMilliseconds: trend.averageMilliseconds,
    };
}
