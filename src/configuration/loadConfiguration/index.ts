import { toTypedError } from "../../errors/toTypedError/index.js";
import { EventKind } from "../../events/types/EventKind.js";
import { catchUpFromStore } from "../catchUpFromStore/index.js";
import { configurationConstants } from "../constants.js";
import { listRetryDelays } from "../listRetryDelays/index.js";
import { pullFromPeers } from "../pullFromPeers/index.js";
import type { ConfigurationParts } from "../types/ConfigurationParts.js";

/**
 * Finds the configuration when a gateway starts: from peers first, then from the store, until one of them has answered.
 *
 * @param parts State, store and peers.
 * @param signal Gives up.
 * @returns True once a configuration was found, false when it was given up.
 *
 * @example
 * const isLoaded = await loadConfiguration(parts, signal);
 */
export async function loadConfiguration(parts: ConfigurationParts, signal: AbortSignal): Promise<boolean> {
    const { state, store, events, clock, random } = parts;
    let isWarned = false;
    for (const delay of listRetryDelays(random)) {
        if (signal.aborted) {
            return false;
        }
        if (await pullFromPeers(parts, 0, signal)) {
            const text = `Took version ${state.current().version} over from a peer, without asking the platform.`;
            events.record({ kind: EventKind.ConfigurationInForce, version: state.current().version, text });
            return true;
        }
        await clock.sleep(random.next() * configurationConstants.startJitterMilliseconds, signal);
        try {
            await catchUpFromStore(state, store, { withSnapshot: true });
            return true;
        }
        catch (error) {
            const reason = toTypedError(error).message;
            parts.logger.topic("configuration")("no configuration found yet", { reason });
            if (!isWarned) {
                const text = `No peer has a configuration and the platform's store cannot be read: ${reason}`;
                events.record({ kind: EventKind.PlatformLost, text });
                isWarned = true;
            }
        }
        await clock.sleep(delay, signal);
    }
    return false;
}
