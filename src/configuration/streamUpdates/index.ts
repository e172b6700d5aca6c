import { EventEmitter, on } from "node:events";
import { listUpdates } from "../listUpdates/index.js";
import type { ConfigurationState } from "../types/ConfigurationState.js";
import type { ConfigurationUpdate } from "../types/ConfigurationUpdate.js";
import { UpdateKind } from "../types/UpdateKind.js";

/**
 * Streams what another process needs to stay at the version in force here.
 *
 * @param state The configuration of this process.
 * @param version The version in force in the other process.
 * @param signal Ends the stream.
 * @returns Updates, as versions come into force; throws an abort error at the signal.
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
            const reachedVersion = state.current().version;
            if (reachedVersion > sentVersion) {
                yield* listUpdates(state, sentVersion);
                sentVersion = reachedVersion;
            }
            yield { kind: UpdateKind.InForce, version: sentVersion };
            if (state.current().version === reachedVersion) {
                await changes.next();
            }
        }
    }
    finally {
        stopListening();
    }
}
