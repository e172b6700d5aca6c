import { z } from "zod";
import { isTypedError } from "../../errors/isTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { PlatformClient } from "../../objectStore/types/PlatformClient.js";
import type { StoredObject } from "../../objectStore/types/StoredObject.js";
import { canonicalizeValue } from "../canonicalizeValue/index.js";
import { configurationConstants } from "../constants.js";
import { formatVersionKey } from "../formatVersionKey/index.js";
import { snapshotSchema } from "../snapshotSchema/index.js";
import { splitText } from "../splitText/index.js";
import type { ConfigurationSnapshot } from "../types/ConfigurationSnapshot.js";
import type { ConfigurationStore } from "../types/ConfigurationStore.js";
import type { VersionRecord } from "../types/VersionRecord.js";
import { versionRecordSchema } from "../versionRecordSchema/index.js";

const versionsPrefix = "configuration/versions/";
const snapshotsPrefix = "configuration/snapshots/";
const pointerKey = "configuration/latestSnapshot";
const indexSchema = z.object({ folder: z.string(), partCount: z.number().int().min(1) });
const pointerSchema = z.object({ version: z.number().int().min(0) });
const partSchema = z.object({ text: z.string() });

/**
 * Creates the access to configuration versions and snapshots in the platform's store.
 *
 * A snapshot is written as parts, then an index that refers to them, then the pointer to the newest snapshot, so that
 * a writer that fails midway leaves no incomplete snapshot that a reader could use.
 *
 * @param platform Client of the platform's store.
 * @param writerName Name of this process; separates the parts of several writers of the same snapshot.
 * @returns The store.
 *
 * @example
 * const store = createConfigurationStore(platform, settings.name);
 */
export function createConfigurationStore(platform: PlatformClient, writerName: string): ConfigurationStore {
    async function readRecord(version: number): Promise<VersionRecord | undefined> {
        const stored = await platform.readObject(`${versionsPrefix}${formatVersionKey(version)}`);
        return stored === undefined ? undefined : parseRecord(stored);
    }

    async function readPage(version: number): Promise<readonly VersionRecord[]> {
        const page = await platform.listObjects(versionsPrefix, `${versionsPrefix}${formatVersionKey(version)}`);
        return page.map(parseRecord);
    }

    async function* listRecords(version: number): AsyncGenerator<VersionRecord> {
        for (let page = await readPage(version); page.length > 0; page = await readPage(page.at(-1)!.version)) {
            yield* page;
        }
    }

    async function* watchRecords(version: number, signal: AbortSignal): AsyncGenerator<VersionRecord> {
        const afterKey = `${versionsPrefix}${formatVersionKey(version)}`;
        for await (const stored of platform.watchObjects(versionsPrefix, signal, afterKey)) {
            yield parseRecord(stored);
        }
    }

    async function createRecord(record: VersionRecord): Promise<void> {
        await platform.createObject(`${versionsPrefix}${formatVersionKey(record.version)}`, record);
    }

    async function readSnapshotVersion(): Promise<number> {
        const stored = await platform.readObject(pointerKey);
        return stored === undefined ? 0 : pointerSchema.parse(stored.value).version;
    }

    async function readSnapshot(highestVersion?: number): Promise<ConfigurationSnapshot | undefined> {
        const { versionsPerSnapshot, maximumSnapshotLookups } = configurationConstants;
        const newest = highestVersion ?? await readSnapshotVersion();
        let version = newest - newest % versionsPerSnapshot;
        for (
            let lookup = 0;
            lookup < maximumSnapshotLookups && version > 0;
            lookup += 1, version -= versionsPerSnapshot
        ) {
            const index = await platform.readObject(`${snapshotsPrefix}${formatVersionKey(version)}/index`);
            if (index !== undefined) {
                return readParts(indexSchema.parse(index.value));
            }
        }
        return undefined;
    }

    async function readParts(index: z.output<typeof indexSchema>): Promise<ConfigurationSnapshot | undefined> {
        let text = "";
        for (let part = 0; part < index.partCount; part += 1) {
            const stored = await platform.readObject(`${index.folder}/${part}`);
            if (stored === undefined) {
                return undefined;
            }
            text += partSchema.parse(stored.value).text;
        }
        return snapshotSchema.parse(JSON.parse(text));
    }

    async function writeSnapshot(snapshot: ConfigurationSnapshot): Promise<void> {
        const base = `${snapshotsPrefix}${formatVersionKey(snapshot.version)}`;
        const folder = `${base}/${writerName}`;
        const parts = splitText(canonicalizeValue(snapshot), configurationConstants.snapshotPartCharacters);
        for (const [part, text] of parts.entries()) {
            await createUnlessPresent(`${folder}/${part}`, { text });
        }
        await createUnlessPresent(`${base}/index`, { folder, partCount: parts.length });
        await raisePointer(snapshot.version);
    }

    async function raisePointer(version: number): Promise<void> {
        const stored = await platform.readObject(pointerKey);
        if (stored === undefined) {
            await createUnlessPresent(pointerKey, { version });
        }
        else if (pointerSchema.parse(stored.value).version < version) {
            await platform.updateObject(pointerKey, { version }, stored.version);
        }
    }

    async function createUnlessPresent(key: string, value: unknown): Promise<void> {
        try {
            await platform.createObject(key, value);
        }
        catch (error) {
            if (!isTypedError(error, ErrorKind.Conflict)) {
                throw error;
            }
        }
    }

    return {
        readRecord,
        readPage,
        listRecords,
        watchRecords,
        createRecord,
        readSnapshot,
        readSnapshotVersion,
        writeSnapshot,
    };
}

function parseRecord(stored: StoredObject): VersionRecord {
    return versionRecordSchema.parse(stored.value);
}
