import { toTypedError } from "../../errors/toTypedError/index.js";
import type { ConfigurationDependencies } from "../types/ConfigurationDependencies.js";

/**
 * Writes the due snapshot to the store unless another gateway has already written it.
 *
 * A failure is only logged; a relay retries at its next read of the store.
 *
 * @param dependencies State, store and logger.
 * @param writtenVersion Version of the newest snapshot known to be in the store.
 * @returns Version of the newest snapshot that is then known to be in the store.
 *
 * @example
 * writtenVersion = await writeDueSnapshot(dependencies, writtenVersion);
 */
export async function writeDueSnapshot(
    dependencies: ConfigurationDependencies,
    writtenVersion: number,
): Promise<number> {
    const due = dependencies.state.snapshotDue();
    if (due === undefined || due.version <= writtenVersion) {
        return writtenVersion;
    }
    try {
        if (await dependencies.store.readSnapshotVersion() < due.version) {
            await dependencies.store.writeSnapshot(due);
        }
        return due.version;
    }
    catch (error) {
        const reason = toTypedError(error).message;
        dependencies.logger.topic("configuration")(
            "configuration snapshot could not be written; a relay retries later",
            { version: due.version, reason },
        );
        return writtenVersion;
    }
}
