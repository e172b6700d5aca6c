import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { applyPatch } from "../applyPatch/index.js";
import type { ConfigurationDocument } from "../types/ConfigurationDocument.js";
import type { ConfigurationState } from "../types/ConfigurationState.js";
import type { ConfigurationStore } from "../types/ConfigurationStore.js";

/**
 * Rebuilds the content of one version.
 *
 * @param state The configuration of this process, for the version in force.
 * @param store The versions and snapshots in the platform's store, for every other one.
 * @param version The version asked for.
 * @returns Its content, without defaults.
 * @throws TarragonpostError of kind `NotFound` when there is no such version, or `PlatformUnavailable`.
 *
 * @example
 * const document = await readVersion(state, store, 12);
 */
export async function readVersion(
    state: ConfigurationState,
    store: ConfigurationStore,
    version: number,
): Promise<ConfigurationDocument> {
    const current = state.snapshot();
    if (version === current.version) {
        return current.document;
    }
    const snapshot = await store.readSnapshot(version);
    let reached = snapshot?.version ?? 0;
    let document: ConfigurationDocument = snapshot?.document ?? {};
    if (reached === version) {
        return document;
    }
    for await (const record of store.listRecords(reached)) {
        document = applyPatch(document, record.patch);
        reached = record.version;
        if (reached === version) {
            return document;
        }
    }
    throw createError(ErrorKind.NotFound, `There is no configuration version ${version}.`, {
        remedy: `Ask for a version up to ${Math.max(reached, current.version)}.`,
        details: { version: Math.max(reached, current.version) },
    });
}
