import type { Clock } from "../../clock/types/Clock.js";
import type { FreeSignal } from "../types/FreeSignal.js";

/**
 * Creates the signal that statements of a group need not wait any longer because of a limit.
 *
 * @param clock Source of time.
 * @param onFree Called with the group once a limit allows a statement again; at most once for each wait.
 * @returns The signal.
 *
 * @example
 * signal.expect("orders", 40);
 */
export function createFreeSignal(clock: Clock, onFree: (group: string) => void): FreeSignal {
    const dueAtByGroup = new Map<string, number>();

    function expect(group: string, milliseconds: number): void {
        const dueAt = clock.now() + Math.max(milliseconds, 1);
        const earlier = dueAtByGroup.get(group) ?? Infinity;
        dueAtByGroup.set(group, Math.min(dueAt, earlier));
        if (dueAt < earlier) {
            clock.startTimer(dueAt - clock.now(), () => {
                if ((dueAtByGroup.get(group) ?? Infinity) <= clock.now()) {
                    notify(group);
                }
            });
        }
    }

    function notify(group: string): void {
        if (dueAtByGroup.delete(group)) {
            onFree(group);
        }
    }

    return { expect, notify };
}
