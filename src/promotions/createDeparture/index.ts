import type { Clock } from "../../clock/types/Clock.js";
import type { Duty } from "../../duty/types/Duty.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { promotionConstants } from "../constants.js";
import type { Departure } from "../types/Departure.js";
import type { PromotionCoordinator } from "../types/PromotionCoordinator.js";

/** Options of `createDeparture`. */
interface DepartureOptions {
    readonly clock: Clock;
    readonly duty: Pick<Duty, "heldToken" | "isGranting" | "otherVms" | "leave" | "handOver">;
    readonly coordinator: Pick<PromotionCoordinator, "leave" | "isChanging" | "hasUnknownEnds">;
    /** Time from the signal to stop until the process is killed. */
    readonly graceMilliseconds: number;
    readonly log: LogTopic;
}

/**
 * Creates the departure of a VM from the failover duty when it stops: it begins no change of a primary, finishes the
 * one that has begun, and hands over the duty if it holds it.
 *
 * @param options Clock, the duty, and the coordinator of changes.
 * @returns The departure, not begun.
 *
 * @example
 * departure.begin();
 * await departure.finish();
 */
export function createDeparture(options: DepartureOptions): Departure {
    const { clock, duty, coordinator, log } = options;
    const end = new AbortController();
    let endsAt = Infinity;

    function begin(): void {
        endsAt = clock.now() + promotionConstants.departureGraceShare * options.graceMilliseconds;
        coordinator.leave();
        duty.leave();
        void runLoop();
    }

    /** Another VM that stops may hand the duty over to this one at any time, so the loop goes on until the process ends. */
    async function runLoop(): Promise<void> {
        let heldSince: number | undefined;
        while (!end.signal.aborted) {
            heldSince = duty.heldToken() === undefined ? undefined : heldSince ?? clock.now();
            if (heldSince !== undefined && isHandOverDue(heldSince)) {
                await duty.handOver(!coordinator.hasUnknownEnds());
            }
            await clock.sleep(promotionConstants.departurePollingMilliseconds, end.signal);
        }
    }

    /** A successor has to wait long unless the primaries are confirmed, which a new holder does at once if it can. */
    function isHandOverDue(heldSince: number): boolean {
        return !coordinator.isChanging()
            && (duty.isGranting() || clock.now() - heldSince >= promotionConstants.confirmationMilliseconds);
    }

    function isHandOverPossible(): boolean {
        return duty.heldToken() !== undefined && duty.otherVms().length > 0;
    }

    async function finish(): Promise<void> {
        while (clock.now() < endsAt && (isHandOverPossible() || coordinator.isChanging())) {
            await clock.sleep(promotionConstants.departurePollingMilliseconds, end.signal);
        }
        log("departure from the failover duty has ended", {
            token: duty.heldToken(),
            isChanging: coordinator.isChanging(),
        });
    }

    return { begin, finish, stop: async () => end.abort() };
}
