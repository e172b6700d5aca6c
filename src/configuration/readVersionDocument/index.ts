import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { applyPatch } from "../applyPatch/index.js";
import type { ConfigurationDocument } from "../types/ConfigurationDocument.js";
import type { ConfigurationState } from "../types/ConfigurationState.js";
import type { ConfigurationStore } from "../types/ConfigurationStore.js";

/**
 * Rebuilds the document of one version.
 *
 * @param state The configuration of this process, which holds the version in force.
 * @param store The versions and snapshots in the platform's store, from which any other version is rebuilt.
 * @param version The requested version.
 * @returns The document, without defaults.
 * @throws TarragonpostError of kind `NotFound` when there is no such version, or `PlatformUnavailable` when
 * the store cannot be read.
 *
 * @example
 * const document = await readVersionDocument(state, store, 12);
 */
export async function readVersionDocument(
    state: ConfigurationState,
    store: ConfigurationStore,
    version: number,
): Promise<ConfigurationDocument> {
    const current = state.snapshot();
    if (version === current.version) {
        return current.document;
    }
    const snapshot = await store.readSnapshot(version);
    let rebuiltVersion = snapshot?.version ?? 0;
    let document: ConfigurationDocument = snapshot?.document ?? {};
    if (rebuiltVersion === version) {
        return document;
    }
    for await (const record of store.listRecords(rebuiltVersion)) {
        document = applyPatch(document, record.patch);
        rebuiltVersion = record.version;
        if (rebuiltVersion === version) {
            return document;
        }
    }
    throw createError(ErrorKind.NotFound, `There is no configuration version ${version}.`, {
        remedy: `Request a version up to ${Math.max(rebuiltVersion, current.version)}.`,
        details: { version: Math.max(rebuiltVersion, current.version) },
    });
}
