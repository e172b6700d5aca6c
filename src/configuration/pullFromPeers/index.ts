import { createTimeLimitedSignal } from "../../clock/createTimeLimitedSignal/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import type { Address } from "../../network/types/Address.js";
import { iterateSubscription } from "../../transport/iterateSubscription/index.js";
import { applyUpdates } from "../applyUpdates/index.js";
import { configurationConstants } from "../constants.js";
import type { createConfigurationRouter } from "../createConfigurationRouter/index.js";
import { listPullSources } from "../listPullSources/index.js";
import type { ConfigurationDependencies } from "../types/ConfigurationDependencies.js";
import type { ConfigurationUpdate } from "../types/ConfigurationUpdate.js";

/**
 * Pulls missing configuration versions from peers and applies them.
 *
 * @param dependencies State, membership and peers.
 * @param wantedVersion Peers are queried one after another until this version is in force; with 0, until one answers.
 * @param stopSignal Cancels the pull.
 * @returns True when a peer answered and the wanted version is in force.
 *
 * @example
 * const isDone = await pullFromPeers(dependencies, dependencies.state.highestKnownVersion(), signal);
 */
export async function pullFromPeers(
    dependencies: ConfigurationDependencies,
    wantedVersion: number,
    stopSignal: AbortSignal,
): Promise<boolean> {
    const { state } = dependencies;
    const log = dependencies.logger.topic("configuration");
    for (const address of listPullSources(dependencies)) {
        if (stopSignal.aborted) {
            return false;
        }
        const versionBefore = state.current().version;
        const { signal, release } = createTimeLimitedSignal(
            stopSignal,
            dependencies.clock,
            configurationConstants.pullTimeoutMilliseconds,
        );
        try {
            await applyUpdates(state, requestUpdates(dependencies, address, versionBefore, signal));
            if (state.current().version === versionBefore && versionBefore < wantedVersion) {
                // The records could not be applied, so the snapshot is requested.
                await applyUpdates(state, requestUpdates(dependencies, address, -1, signal));
            }
            if (!signal.aborted && state.current().version >= wantedVersion) {
                return true;
            }
        }
        catch (error) {
            log("pull of configuration versions from a peer failed; the next peer is queried", {
                port: address.port,
                reason: toTypedError(error).message,
            });
        }
        finally {
            release();
        }
    }
    return false;
}

function requestUpdates(
    dependencies: ConfigurationDependencies,
    address: Address,
    version: number,
    signal: AbortSignal,
): AsyncGenerator<ConfigurationUpdate> {
    const client = dependencies.peers.clientOf<ReturnType<typeof createConfigurationRouter>>(address);
    return iterateSubscription(observer => client.configuration.updates.subscribe({ version }, observer), signal);
}
