import type { Clock } from "../../clock/types/Clock.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { placementConstants } from "../constants.js";
import type { OpeningPace } from "../types/OpeningPace.js";

/** Options of `createOpeningPace`. */
interface OpeningPaceOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** When this process started, on its clock. */
    readonly startedAt: number;
    /** Whether openings are sparing after a loss of VMs; left out means that they are. */
    readonly isControlled?: () => boolean;
    /** Whether this VM is meant to hold connections to the endpoint. */
    readonly isHolding: () => boolean;
}

/**
 * Creates the decision whether a VM leaves the places of an endpoint to other VMs.
 *
 * After a loss of VMs, an endpoint counts their connections for seconds more, and few places are left for all VMs that
 * return. A VM is therefore sparing for that time after its start when the endpoint's limit was reached or when it seems
 * that all VMs started together; and when other VMs are meant to hold the connections and the endpoint was once full.
 * A sparing VM closes a connection as soon as no statement needs it, so that the places go round. After a refusal it
 * tries again after a random pause that doubles.
 *
 * @param options Clock, randomness, start of the process, and whether this VM is meant to hold connections.
 * @returns The decision, without a refusal.
 *
 * @example
 * const limit = pace.isSparing() ? sparingLimit : ordinaryLimit;
 */
export function createOpeningPace(options: OpeningPaceOptions): OpeningPace {
    const { clock, random, startedAt, isHolding, isControlled = () => true } = options;
    const {
        initialLimitPauseMilliseconds,
        connectionLimitPauseMilliseconds,
        limitRefusalsUntilLasting,
        darkConnectionMilliseconds,
        returnNoticeMilliseconds,
    } = placementConstants;
    let refusalCount = 0;
    let wasLimitReached = false;
    let isReturnSeen = false;

    clock.startTimer(Math.max(startedAt + returnNoticeMilliseconds - clock.now(), 0), () => {
        isReturnSeen = !isHolding();
    });

    function ageMilliseconds(): number {
        return clock.now() - startedAt;
    }

    /** Whether endpoints may still count connections of before the start, of this VM and of many others. */
    function isReturning(): boolean {
        return ageMilliseconds() < darkConnectionMilliseconds && (isReturnSeen || wasLimitReached);
    }

    /** Whether other VMs are meant to hold the connections, and this one does not stand alone. */
    function isGuest(): boolean {
        return !isHolding() && (wasLimitReached || ageMilliseconds() < returnNoticeMilliseconds);
    }

    function isSparing(): boolean {
        return isControlled() && (isReturning() || isGuest());
    }

    /** A pause between half and one and a half of a bound, so that VMs that are refused together spread. */
    function recordRefusal(): number {
        refusalCount += 1;
        wasLimitReached = true;
        if (!isControlled()) {
            return connectionLimitPauseMilliseconds;
        }
        const bound = isSparing() ? initialLimitPauseMilliseconds * 2 ** (refusalCount - 1) : Infinity;
        return Math.min(bound, connectionLimitPauseMilliseconds) * (0.5 + random.next());
    }

    return {
        isSparing,
        recordOpened: () => {
            refusalCount = 0;
        },
        recordRefusal,
        isLimitLasting: () => isControlled() && refusalCount >= limitRefusalsUntilLasting,
    };
}
