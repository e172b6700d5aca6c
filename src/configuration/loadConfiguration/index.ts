import { toTypedError } from "../../errors/toTypedError/index.js";
import { EventKind } from "../../events/types/EventKind.js";
import { catchUpFromStore } from "../catchUpFromStore/index.js";
import { configurationConstants } from "../constants.js";
import { listRetryDelays } from "../listRetryDelays/index.js";
import { pullFromPeers } from "../pullFromPeers/index.js";
import type { ConfigurationDependencies } from "../types/ConfigurationDependencies.js";

/**
 * Loads the configuration when a gateway starts, from peers or, failing that, from the store, until it succeeds.
 *
 * @param dependencies State, store, peers and the services they need.
 * @param signal Cancels the attempts.
 * @returns True once a configuration was loaded, false if it was cancelled.
 *
 * @example
 * const isLoaded = await loadConfiguration(dependencies, signal);
 */
export async function loadConfiguration(
    dependencies: ConfigurationDependencies,
    signal: AbortSignal,
): Promise<boolean> {
    const { state, store, events, clock, random } = dependencies;
    let isFailureRecorded = false;
    for (const delay of listRetryDelays(random)) {
        if (signal.aborted) {
            return false;
        }
        if (await pullFromPeers(dependencies, 0, signal)) {
            const text =
                `Version ${state.current().version} was loaded from a peer, without a request to the platform.`;
            events.record({ kind: EventKind.ConfigurationInForce, version: state.current().version, text });
            return true;
        }
        await clock.sleep(random.next() * configurationConstants.maximumStartJitterMilliseconds, signal);
        try {
            await catchUpFromStore(state, store, { withSnapshot: true });
            return true;
        }
        catch (error) {
            const reason = toTypedError(error).message;
            dependencies.logger.topic("configuration")(
                "no configuration could be loaded from peers or the store; both are tried again",
                { reason },
            );
            if (!isFailureRecorded) {
                const text = `No peer has a configuration and the platform's store cannot be read: ${reason}`;
                events.record({ kind: EventKind.PlatformLost, text });
                isFailureRecorded = true;
            }
        }
        await clock.sleep(delay, signal);
    }
    return false;
}
