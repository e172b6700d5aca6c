import { toTypedError } from "../../errors/toTypedError/index.js";
import { catchUpFromStore } from "../catchUpFromStore/index.js";
import { configurationConstants } from "../constants.js";
import { listRetryDelays } from "../listRetryDelays/index.js";
import { pullFromPeers } from "../pullFromPeers/index.js";
import type { ConfigurationParts } from "../types/ConfigurationParts.js";

/**
 * Fetches the versions between the one in force and the highest one heard of, from peers first, then from the store.
 *
 * Each round doubles about the share of gateways that hold a version, so the store is read only after several rounds:
 * a large patch must not make every gateway of the fleet read it.
 *
 * @param parts State, peers and store.
 * @param signal Gives up.
 * @returns Resolves when nothing is missing.
 *
 * @example
 * if (state.highestHeard() > state.current().version) { await runRepairs(parts, signal); }
 */
export async function runRepairs(parts: ConfigurationParts, signal: AbortSignal): Promise<void> {
    const { state, clock, random } = parts;
    let round = 0;
    for (const delay of listRetryDelays(random)) {
        if (signal.aborted || state.current().version >= state.highestHeard()) {
            return;
        }
        round += 1;
        const isDone = await pullFromPeers(parts, state.highestHeard(), signal);
        if (!isDone && round % configurationConstants.repairRoundsPerStoreRead === 0) {
            await readStore(parts);
        }
        if (state.current().version < state.highestHeard()) {
            await clock.sleep(delay, signal);
        }
    }
}

async function readStore(parts: ConfigurationParts): Promise<void> {
    const { state } = parts;
    try {
        await catchUpFromStore(state, parts.store, { withSnapshot: true });
    }
    catch (error) {
        const reason = toTypedError(error).message;
        parts.logger.topic("configuration")("versions are missing", { heard: state.highestHeard(), reason });
    }
}
