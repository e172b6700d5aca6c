import { toTypedError } from "../../errors/toTypedError/index.js";
import { catchUpFromStore } from "../catchUpFromStore/index.js";
import { listRetryDelays } from "../listRetryDelays/index.js";
import { pullFromPeers } from "../pullFromPeers/index.js";
import type { ConfigurationParts } from "../types/ConfigurationParts.js";

/**
 * Fetches the versions between the one in force and the highest one heard of, from peers first, then from the store.
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
    for (const delay of listRetryDelays(random)) {
        if (signal.aborted || state.current().version >= state.highestHeard()) {
            return;
        }
        if (await pullFromPeers(parts, state.highestHeard())) {
            continue;
        }
        await clock.sleep(delay, signal);
        if (signal.aborted || state.current().version >= state.highestHeard()) {
            return;
        }
        try {
            await catchUpFromStore(state, parts.store, { withSnapshot: true });
        }
        catch (error) {
            const reason = toTypedError(error).message;
            parts.logger.topic("configuration")("versions are missing", { heard: state.highestHeard(), reason });
        }
    }
}
