import type { EmulatedLink } from "../../../network/types/EmulatedLink.js";
import { createNotifier } from "../../createNotifier/index.js";
import type { LinkChange } from "../types/LinkChange.js";
import type { NetworkState } from "../types/NetworkState.js";

/**
 * Creates the state of the emulated network.
 *
 * @param initial Changes that are applied at the start.
 * @returns The state.
 *
 * @example
 * const network = createNetworkState([{ from: "ga-north-1", to: "ga-south-1", delayMilliseconds: 30 }]);
 */
export function createNetworkState(initial: readonly LinkChange[]): NetworkState {
    const links = new Map<string, EmulatedLink>();
    const { notify, onChange } = createNotifier();

    function changeDirection(from: string, to: string, wanted: LinkChange): void {
        const key = `${from}>${to}`;
        const previous = links.get(key);
        links.set(key, {
            from,
            to,
            delayMilliseconds: wanted.delayMilliseconds ?? previous?.delayMilliseconds ?? 0,
            isCut: wanted.isCut ?? previous?.isCut ?? false,
            silentSince: wanted.isSilenced === true ? Date.now() : previous?.silentSince,
        });
    }

    function change(wanted: LinkChange): void {
        changeDirection(wanted.from, wanted.to, wanted);
        if (wanted.isOneWay !== true) {
            changeDirection(wanted.to, wanted.from, wanted);
        }
        notify();
    }

    initial.forEach(change);
    return { change, list: () => [...links.values()], onChange };
}
