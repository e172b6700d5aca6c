import { listDeliverySteps } from "../listDeliverySteps/index.js";
import { searchStates } from "../searchStates/index.js";
import { ChangePhase } from "../types/ChangePhase.js";
import type { DeliveryRules } from "../types/DeliveryRules.js";
import type { DeliveryState } from "../types/DeliveryState.js";
import { WritePhase } from "../types/WritePhase.js";

const nothingReceived = { received: 0, highest: 0, complete: 0 };

const initialState: DeliveryState = {
    phase: ChangePhase.Serving,
    lastSequence: 0,
    begunSequence: 0,
    newestSequence: 0,
    otherAnnouncements: 0,
    isConfirmed: false,
    vm: nothingReceived,
    relay: nothingReceived,
    hasLease: false,
    isLeaseAfterAnnouncement: false,
    renewal: undefined,
    answer: undefined,
    write: WritePhase.Waiting,
};

/**
 * Searches every interleaving of the announcements of two groups, renewals, answers and losses for a write that is
 * acknowledged although the old primary committed it after the successor led.
 *
 * @param rules The rules of the delivery.
 * @returns The number of visited states, and the steps to a violation if there is one.
 *
 * @example
 * searchDelivery(rules).violation; // => undefined
 */
export function searchDelivery(rules: DeliveryRules): ReturnType<typeof searchStates> {
    return searchStates({
        initialState,
        listSteps: state => listDeliverySteps(state, rules),
        isViolation: ({ write }) => write === WritePhase.Acknowledged,
    });
}
