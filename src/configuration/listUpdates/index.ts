import { configurationConstants } from "../constants.js";
import { splitText } from "../splitText/index.js";
import type { ConfigurationState } from "../types/ConfigurationState.js";
import type { ConfigurationUpdate } from "../types/ConfigurationUpdate.js";
import { UpdateKind } from "../types/UpdateKind.js";

/**
 * Lists the updates that bring another process from its version to the one in force in this process.
 *
 * @param state The configuration of this process.
 * @param version The version in force in the other process.
 * @returns The records above that version, or the snapshot in parts if some of the records are no longer kept.
 *
 * @example
 * yield* listUpdates(state, input.version);
 */
export function* listUpdates(state: ConfigurationState, version: number): Generator<ConfigurationUpdate> {
    const records = state.recordsAfter(version);
    if (records !== undefined) {
        for (const record of records) {
            yield { kind: UpdateKind.Record, record };
        }
        return;
    }
    const parts = splitText(JSON.stringify(state.snapshot()), configurationConstants.snapshotPartCharacters);
    for (const [index, text] of parts.entries()) {
        yield { kind: UpdateKind.SnapshotPart, index, partCount: parts.length, text };
    }
}
