import { EventEmitter, on } from "node:events";
import { listUpdates } from "../listUpdates/index.js";
import type { ConfigurationState } from "../types/ConfigurationState.js";
import type { ConfigurationUpdate } from "../types/ConfigurationUpdate.js";
import { UpdateKind } from "../types/UpdateKind.js";

/**
 * Streams the updates that keep another process at the version in force in this process.
 *
 * @param state The configuration of this process.
 * @param version The version in force in the other process.
 * @param signal Ends the stream.
 * @returns The updates, as versions come into force; throws an `AbortError` when the signal is aborted.
 *
 * @example
 * yield* streamUpdates(state, input.version, signal);
 */
export async function* streamUpdates(
    state: ConfigurationState,
    version: number,
    signal: AbortSignal,
): AsyncGenerator<ConfigurationUpdate> {
    const emitter = new EventEmitter();
    const stopListening = state.onChange(() => void emitter.emit("change"));
    const changes = on(emitter, "change", { signal });
    let sentVersion = version;
    try {
        for (;;) {
            const currentVersion = state.current().version;
            if (currentVersion > sentVersion) {
                yield* listUpdates(state, sentVersion);
                sentVersion = currentVersion;
            }
            yield { kind: UpdateKind.InForce, version: sentVersion };
            if (state.current().version === currentVersion) {
                await changes.next();
            }
        }
    }
    finally {
        stopListening();
    }
}
