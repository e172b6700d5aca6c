import { createNotifier } from "../../createNotifier/index.js";
import type { EndpointSwitches } from "../types/EndpointSwitches.js";
import type { ObservableSwitches } from "../types/ObservableSwitches.js";

/**
 * Creates the switches of an endpoint stand-in.
 *
 * @param serviceMilliseconds Initial service time of a statement in milliseconds.
 * @returns The switches, with no fault set.
 *
 * @example
 * createObservableSwitches(2).set({ isFrozen: true });
 */
export function createObservableSwitches(serviceMilliseconds: number): ObservableSwitches {
    const state: EndpointSwitches = {
        isKilled: false,
        isFrozen: false,
        isCutFromPeers: false,
        isLeaving: false,
        replicationLagMilliseconds: 0,
        serviceMilliseconds,
    };
    const { notify, onChange } = createNotifier();

    function set(changes: Partial<EndpointSwitches>): void {
        Object.assign(state, changes);
        notify();
    }

    async function waitWhileFrozen(): Promise<void> {
        while (state.isFrozen) {
            await new Promise<void>(resolve => {
                const unsubscribe = onChange(() => {
                    unsubscribe();
                    resolve();
                });
            });
        }
    }

    return { state, set, onChange, waitWhileFrozen };
}
