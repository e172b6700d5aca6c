import { toTypedError } from "../../errors/toTypedError/index.js";
import { catchUpFromStore } from "../catchUpFromStore/index.js";
import { configurationConstants } from "../constants.js";
import { listRetryDelays } from "../listRetryDelays/index.js";
import { pullFromPeers } from "../pullFromPeers/index.js";
import type { ConfigurationDependencies } from "../types/ConfigurationDependencies.js";

/**
 * Fetches the versions between the one in force and the highest known one, from peers or, failing that, from the store.
 *
 * Each attempt roughly doubles the share of gateways that hold a version. The store is therefore read only after
 * several attempts: otherwise a large patch would make every gateway of the fleet read the store.
 *
 * @param dependencies State, peers and store.
 * @param signal Cancels the repair.
 * @returns Resolves when no known version is missing, or when cancelled.
 *
 * @example
 * if (state.highestKnownVersion() > state.current().version) { await runRepairs(dependencies, signal); }
 */
export async function runRepairs(dependencies: ConfigurationDependencies, signal: AbortSignal): Promise<void> {
    const { state, clock, random } = dependencies;
    let attemptCount = 0;
    for (const delay of listRetryDelays(random)) {
        if (signal.aborted || state.current().version >= state.highestKnownVersion()) {
            return;
        }
        attemptCount += 1;
        const isDone = await pullFromPeers(dependencies, state.highestKnownVersion(), signal);
        if (!isDone && attemptCount % configurationConstants.repairAttemptsPerStoreRead === 0) {
            await readStore(dependencies);
        }
        if (state.current().version < state.highestKnownVersion()) {
            await clock.sleep(delay, signal);
        }
    }
}

async function readStore(dependencies: ConfigurationDependencies): Promise<void> {
    const { state } = dependencies;
    try {
        await catchUpFromStore(state, dependencies.store, { withSnapshot: true });
    }
    catch (error) {
        const reason = toTypedError(error).message;
        dependencies.logger.topic("configuration")(
            "configuration versions are missing and the store cannot be read; peers are queried again",
            { highestKnownVersion: state.highestKnownVersion(), reason },
        );
    }
}
