import { snapshotSchema } from "../snapshotSchema/index.js";
import type { ConfigurationState } from "../types/ConfigurationState.js";
import type { ConfigurationUpdate } from "../types/ConfigurationUpdate.js";
import { UpdateKind } from "../types/UpdateKind.js";
import { versionRecordSchema } from "../versionRecordSchema/index.js";

/**
 * Applies the updates that another process sends to bring this process to its configuration version.
 *
 * @param state The configuration of this process.
 * @param updates The updates, in the order they were sent.
 * @returns Resolves when the stream of updates ends.
 * @throws When an update is malformed, or when the stream fails.
 *
 * @example
 * await applyUpdates(state, iterateSubscription(subscribe, signal));
 */
export async function applyUpdates(
    state: ConfigurationState,
    updates: AsyncIterable<ConfigurationUpdate>,
): Promise<void> {
    let parts: string[] = [];
    for await (const update of updates) {
        if (update.kind === UpdateKind.Record) {
            state.applyRecord(versionRecordSchema.parse(update.record));
        }
        else if (update.kind === UpdateKind.InForce) {
            state.recordKnownVersion(update.version);
        }
        else {
            parts = update.index === 0 ? [update.text] : [...parts, update.text];
            if (parts.length === update.partCount) {
                state.restore(snapshotSchema.parse(JSON.parse(parts.join(""))));
                parts = [];
            }
        }
    }
}
