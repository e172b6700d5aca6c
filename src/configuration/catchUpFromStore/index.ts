import type { ConfigurationState } from "../types/ConfigurationState.js";
import type { ConfigurationStore } from "../types/ConfigurationStore.js";

/** Options of `catchUpFromStore`. */
interface CatchUpFromStoreOptions {
    /** Whether a snapshot may spare reading many versions one by one; costs a read. */
    readonly withSnapshot: boolean;
}

/**
 * Brings this gateway to the newest version in the store.
 *
 * @param state The configuration of this process.
 * @param store The versions in the platform's store.
 * @param options Whether to look for a snapshot first.
 * @returns Resolves when every version found is in force.
 * @throws TarragonpostError of kind `PlatformUnavailable` when the store cannot be read.
 *
 * @example
 * await catchUpFromStore(state, store, { withSnapshot: true });
 */
export async function catchUpFromStore(
    state: ConfigurationState,
    store: ConfigurationStore,
    options: CatchUpFromStoreOptions,
): Promise<void> {
    if (options.withSnapshot && await store.readSnapshotVersion() > state.current().version) {
        const snapshot = await store.readSnapshot();
        if (snapshot !== undefined) {
            state.restore(snapshot);
        }
    }
    for await (const record of store.listRecords(state.current().version)) {
        state.takeIn(record);
    }
}
