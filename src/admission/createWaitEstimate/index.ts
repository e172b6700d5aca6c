import type { Clock } from "../../clock/types/Clock.js";
import { computeFairLevel } from "../computeFairLevel/index.js";
import { admissionConstants } from "../constants.js";
import { createServiceTimes } from "../createServiceTimes/index.js";
import type { QueuePlace } from "../types/QueuePlace.js";
import type { WaitEstimate } from "../types/WaitEstimate.js";

/** Arrivals of one class or caller: their number, of which older ones count less, and when it was updated. */
interface Arrivals {
    readonly count: number;
    readonly updatedAt: number;
}

/**
 * Creates an estimate of waits in a queue with classes.
 *
 * A statement waits for those ahead of it and for those that arrive later and go ahead of it: of more urgent classes, and
 * once it cannot end in time, also of its own class. Without recent service times nothing is estimated; a stall of the
 * endpoints alone therefore changes no estimate.
 *
 * @param clock Source of time.
 * @returns The estimate, without evidence.
 *
 * @example
 * const wait = estimate.expectedMilliseconds({ priority: 1, ahead: 12, aheadInClass: 3, connections: 4, targetMilliseconds: 80 });
 */
export function createWaitEstimate(clock: Clock): WaitEstimate {
    const {
        minimumServiceSamples,
        serviceEvidenceMilliseconds,
        maximumServiceFactor,
        minimumServiceTimesLeft,
        arrivalMilliseconds,
        fairShareMilliseconds,
        fairLevelMilliseconds,
        maximumTrackedCallers,
        turnsPerLowerClassTurn,
    } = admissionConstants;
    const lowerClassShare = 1 / (turnsPerLowerClassTurn + 1);
    const serviceTimes = createServiceTimes();
    const arrivalsByPriority = new Map<number, Arrivals>();
    const arrivalsByCaller = new Map<string, Arrivals>();
    let fairLevel = { value: Infinity, computedAt: -Infinity };
    let sampleCount = 0;
    let sampledAt = -Infinity;

    function recordService(caller: string, milliseconds: number): void {
        const bound = sampleCount < minimumServiceSamples ? Infinity : maximumServiceFactor * serviceTimes.mean();
        serviceTimes.record(caller, bound === 0 ? milliseconds : Math.min(milliseconds, bound));
        sampleCount += 1;
        sampledAt = clock.now();
    }

    function countRecent({ count, updatedAt }: Arrivals, milliseconds: number): number {
        return count * Math.exp((updatedAt - clock.now()) / milliseconds);
    }

    function addArrival(arrivals: Arrivals | undefined, milliseconds: number): Arrivals {
        const count = arrivals === undefined ? 1 : countRecent(arrivals, milliseconds) + 1;
        return { count, updatedAt: clock.now() };
    }

    function recordArrival(priority: number, caller: string): void {
        arrivalsByPriority.set(priority, addArrival(arrivalsByPriority.get(priority), arrivalMilliseconds));
        const arrivals = addArrival(arrivalsByCaller.get(caller), fairShareMilliseconds);
        // Deleting first moves the caller to the end of the map, so that the first key is the least recently used.
        arrivalsByCaller.delete(caller);
        arrivalsByCaller.set(caller, arrivals);
        if (arrivalsByCaller.size > maximumTrackedCallers) {
            arrivalsByCaller.delete(arrivalsByCaller.keys().next().value!);
        }
    }

    /** Connections that a caller's arrivals would keep in use. */
    function demandOf(caller: string, arrivals: Arrivals): number {
        return countRecent(arrivals, fairShareMilliseconds) * serviceTimes.mean() * serviceTimes.relativeCost(caller)
            / fairShareMilliseconds;
    }

    function isBelowFairShare(caller: string, connections: number): boolean {
        if (clock.now() - fairLevel.computedAt >= fairLevelMilliseconds) {
            const demands = [...arrivalsByCaller].map(([name, arrivals]) => demandOf(name, arrivals));
            fairLevel = { value: computeFairLevel(demands, connections), computedAt: clock.now() };
        }
        const arrivals = arrivalsByCaller.get(caller);
        return arrivalsByCaller.size > 1 && arrivals !== undefined && demandOf(caller, arrivals) < fairLevel.value;
    }

    /** Share of the connections' time that arrivals of the selected classes take. */
    function loadOf(turnMilliseconds: number, isSelected: (priority: number) => boolean): number {
        return [...arrivalsByPriority]
            .filter(([priority]) => isSelected(priority))
            .reduce(
                (sum, [, arrivals]) =>
                    sum + countRecent(arrivals, arrivalMilliseconds) * turnMilliseconds / arrivalMilliseconds,
                0,
            );
    }

    function neededMilliseconds(): number {
        return minimumServiceTimesLeft * serviceTimes.mean();
    }

    function expectedMilliseconds(place: QueuePlace): number | undefined {
        const { priority, ahead, aheadInClass, connections, targetMilliseconds } = place;
        const isOld = clock.now() - sampledAt > serviceEvidenceMilliseconds;
        if (sampleCount < minimumServiceSamples || isOld || connections === 0) {
            return undefined;
        }
        const turnMilliseconds = serviceTimes.mean() / connections;
        const higherLoad = loadOf(turnMilliseconds, other => other < priority);
        const waitIn = (ownLoad: number): number => {
            const remainingShare = 1 - higherLoad - ownLoad;
            const floorShare = lowerClassShare - ownLoad;
            const inOrder = remainingShare > 0 ? turnMilliseconds * (ahead + 1) / remainingShare : Infinity;
            const byFloor = floorShare > 0 ? turnMilliseconds * (aheadInClass + 1) / floorShare : Infinity;
            return Math.min(inOrder, byFloor);
        };
        const timelyWait = waitIn(0);
        return timelyWait + neededMilliseconds() <= targetMilliseconds
            ? timelyWait
            : waitIn(loadOf(turnMilliseconds, other => other === priority));
    }

    return {
        recordService,
        recordArrival,
        isBelowFairShare,
        expectedMilliseconds,
        neededMilliseconds,
        relativeCost: serviceTimes.relativeCost,
    };
}
