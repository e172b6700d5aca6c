import type { Clock } from "../../clock/types/Clock.js";
import { paceConstants } from "../constants.js";
import { createFailureMemory } from "../createFailureMemory/index.js";
import type { EndpointHealth } from "../types/EndpointHealth.js";
import { StatementEnd } from "../types/StatementEnd.js";

const failures: ReadonlySet<StatementEnd> = new Set([StatementEnd.Failed, StatementEnd.Silent]);
const evidence: ReadonlySet<StatementEnd> = new Set([StatementEnd.Answered, ...failures]);

/**
 * Creates the health of one endpoint, judged by its answers to callers' statements.
 *
 * An endpoint that fails more of its statements than others is set aside for a time, then gets single probes, and returns
 * after several good ones in a row. Each time that it is set aside again soon, it waits twice as long.
 *
 * @param clock Source of time.
 * @returns The health of an endpoint in service.
 *
 * @example
 * health.record(StatementEnd.Failed);
 * if (health.trySetAside(0)) { ... }
 */
export function createEndpointHealth(clock: Clock): EndpointHealth {
    const { initialHoldMilliseconds, maximumHoldMilliseconds, holdDecayMilliseconds } = paceConstants;
    const memory = createFailureMemory(clock, paceConstants.failureHalfLifeMilliseconds);
    let isSetAside = false;
    let setAsideRate = 0;
    let hold = 0;
    let heldUntil = -Infinity;
    let returnedAt = -Infinity;
    let goodProbes = 0;
    let probesInFlight = 0;
    let probedAt = -Infinity;

    function record(end: StatementEnd): void {
        if (evidence.has(end)) {
            memory.record(failures.has(end), end === StatementEnd.Silent ? paceConstants.silenceWeight : 1);
        }
    }

    /** Whether the endpoint fails more than others, judged more strictly for a while after a return. */
    function isFailing(othersRate: number): boolean {
        if (clock.now() - returnedAt < paceConstants.trialHolds * hold) {
            const { setAsideFailuresOnTrial, setAsideExcessOnTrial } = paceConstants;
            return memory.failures() >= setAsideFailuresOnTrial && memory.rate() - othersRate >= setAsideExcessOnTrial;
        }
        const { setAsideFailures, setAsideExcess } = paceConstants;
        return memory.failures() >= setAsideFailures && memory.cautiousRate() - othersRate >= setAsideExcess;
    }

    function trySetAside(othersRate: number): boolean {
        if (isSetAside || !isFailing(othersRate)) {
            return false;
        }
        isSetAside = true;
        setAsideRate = memory.rate();
        hold = Math.min(Math.max(2 * decayedHold(), initialHoldMilliseconds), maximumHoldMilliseconds);
        goodProbes = 0;
        heldUntil = clock.now() + hold;
        return true;
    }

    /** The last hold, halved for each stretch of time in service. */
    function decayedHold(): number {
        return hold * 0.5 ** Math.floor((clock.now() - returnedAt) / holdDecayMilliseconds);
    }

    function penaltyMilliseconds(othersRate: number): number {
        const { failurePenaltyMilliseconds, singleFailurePenaltyMilliseconds, singleFailureWeight } = paceConstants;
        const penalty = failurePenaltyMilliseconds * Math.max(memory.cautiousRate() - othersRate, 0);
        return memory.failures() <= singleFailureWeight ? Math.min(penalty, singleFailurePenaltyMilliseconds) : penalty;
    }

    function isProbeDue(): boolean {
        const now = clock.now();
        const isRested = now >= heldUntil && now - probedAt >= paceConstants.probeIntervalMilliseconds;
        return isSetAside && isRested && probesInFlight === 0;
    }

    function endProbe(end: StatementEnd): boolean {
        probesInFlight -= 1;
        if (!isSetAside || !evidence.has(end)) {
            return false;
        }
        if (failures.has(end)) {
            goodProbes = 0;
            heldUntil = Math.max(heldUntil, clock.now() + hold);
            return false;
        }
        goodProbes += 1;
        if (goodProbes < paceConstants.returningProbes) {
            return false;
        }
        returnToService();
        return true;
    }

    function returnToService(): void {
        isSetAside = false;
        returnedAt = clock.now();
        memory.clear();
    }

    function restart(): void {
        memory.clear();
        if (isSetAside && hold <= initialHoldMilliseconds) {
            returnToService();
        }
    }

    return {
        record,
        failureRate: () => memory.statements() < paceConstants.comparedStatements ? undefined : memory.rate(),
        penaltyMilliseconds,
        trySetAside,
        isSetAside: () => isSetAside,
        rateWhenSetAside: () => setAsideRate,
        isProbeDue,
        isReturning: () => goodProbes > 0,
        beginProbe: () => {
            probesInFlight += 1;
            probedAt = clock.now();
        },
        endProbe,
        restart,
        returnToService,
        holdMilliseconds: () => hold,
    };
}
