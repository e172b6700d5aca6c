import { createTimeLimitedSignal } from "../../clock/createTimeLimitedSignal/index.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import type { Address } from "../../network/types/Address.js";
import { iterateSubscription } from "../../transport/iterateSubscription/index.js";
import { applyUpdates } from "../applyUpdates/index.js";
import { configurationConstants } from "../constants.js";
import type { createConfigurationRouter } from "../createConfigurationRouter/index.js";
import { listSources } from "../listSources/index.js";
import type { ConfigurationParts } from "../types/ConfigurationParts.js";
import type { ConfigurationUpdate } from "../types/ConfigurationUpdate.js";

/**
 * Brings this gateway to the version of a peer.
 *
 * @param parts State, membership and peers.
 * @param wantedVersion Peers are asked one after another until this version is in force; 0 takes any peer's answer.
 * @param stopSignal Gives up.
 * @returns True when a peer answered and the wanted version is in force.
 *
 * @example
 * const isDone = await pullFromPeers(parts, parts.state.highestHeard(), signal);
 */
export async function pullFromPeers(
    parts: ConfigurationParts,
    wantedVersion: number,
    stopSignal: AbortSignal,
): Promise<boolean> {
    const { state } = parts;
    const log = parts.logger.topic("configuration");
    for (const address of listSources(parts)) {
        if (stopSignal.aborted) {
            return false;
        }
        const before = state.current().version;
        const { signal, release } = createTimeLimitedSignal(
            stopSignal,
            parts.clock,
            configurationConstants.pullTimeoutMilliseconds,
        );
        try {
            await applyUpdates(state, requestUpdates(parts, address, before, signal));
            if (state.current().version === before && before < wantedVersion) {
                // The records did not apply, so the whole content is asked for.
                await applyUpdates(state, requestUpdates(parts, address, -1, signal));
            }
            if (!signal.aborted && state.current().version >= wantedVersion) {
                return true;
            }
        }
        catch (error) {
            log("peer could not send versions", { port: address.port, reason: toTypedError(error).message });
        }
        finally {
            release();
        }
    }
    return false;
}

function requestUpdates(
    parts: ConfigurationParts,
    address: Address,
    version: number,
    signal: AbortSignal,
): AsyncGenerator<ConfigurationUpdate> {
    const client = parts.peers.clientOf<ReturnType<typeof createConfigurationRouter>>(address);
    return iterateSubscription(observer => client.configuration.updates.subscribe({ version }, observer), signal);
}
