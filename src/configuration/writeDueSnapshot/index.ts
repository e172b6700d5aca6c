import { toTypedError } from "../../errors/toTypedError/index.js";
import type { ConfigurationParts } from "../types/ConfigurationParts.js";

/**
 * Writes the snapshot that is due to the store, unless another gateway has done so.
 *
 * A failure is logged only: the next relay that looks tries again.
 *
 * @param parts State, store and logger.
 * @param writtenVersion Version of the newest snapshot known to be in the store.
 * @returns Version of the newest snapshot now known to be in the store.
 *
 * @example
 * writtenVersion = await writeDueSnapshot(parts, writtenVersion);
 */
export async function writeDueSnapshot(parts: ConfigurationParts, writtenVersion: number): Promise<number> {
    const due = parts.state.snapshotDue();
    if (due === undefined || due.version <= writtenVersion) {
        return writtenVersion;
    }
    try {
        if (await parts.store.readSnapshotVersion() < due.version) {
            await parts.store.writeSnapshot(due);
        }
        return due.version;
    }
    catch (error) {
        const reason = toTypedError(error).message;
        parts.logger.topic("configuration")("snapshot not written", { version: due.version, reason });
        return writtenVersion;
    }
}
