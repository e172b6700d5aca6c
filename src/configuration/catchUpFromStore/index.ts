import type { ConfigurationState } from "../types/ConfigurationState.js";
import type { ConfigurationStore } from "../types/ConfigurationStore.js";
import type { VersionRecord } from "../types/VersionRecord.js";

/** Options of `catchUpFromStore`. */
interface CatchUpFromStoreOptions {
    /** Whether to look for a snapshot, which can replace many single versions but costs one more read. */
    readonly withSnapshot: boolean;
}

/**
 * Applies all configuration versions in the store that are newer than the one in force.
 *
 * @param state The configuration of this process.
 * @param store Access to the versions in the platform's store.
 * @param options Whether to look for a snapshot first.
 * @returns Resolves when the newest version found is in force.
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
    let page: readonly VersionRecord[] = [];
    do {
        page = await store.readPage(page.at(-1)?.version ?? state.current().version);
        for (const record of page) {
            state.applyRecord(record);
        }
        // A page of one record holds the newest version; without this limit the loop could follow new patches forever.
    }
    while (page.length > 1);
}
