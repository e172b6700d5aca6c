import { EventKind } from "../../events/types/EventKind.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import { applyPatch } from "../applyPatch/index.js";
import { completeConfiguration } from "../completeConfiguration/index.js";
import { configurationConstants } from "../constants.js";
import { createRecordRing } from "../createRecordRing/index.js";
import { digestDocument } from "../digestDocument/index.js";
import { ApplyOutcome } from "../types/ApplyOutcome.js";
import type { ConfigurationSnapshot } from "../types/ConfigurationSnapshot.js";
import type { ConfigurationState } from "../types/ConfigurationState.js";
import type { VersionedConfiguration } from "../types/VersionedConfiguration.js";
import type { VersionRecord } from "../types/VersionRecord.js";
import { updateDigest } from "../updateDigest/index.js";

/**
 * Creates the configuration state of one process, at version 0 with an empty document.
 *
 * @param events Recorder of an event for each version that comes into force.
 * @returns The state.
 *
 * @example
 * const state = createConfigurationState(events);
 * state.applyRecord(record);
 */
export function createConfigurationState(events: EventRecorder): ConfigurationState {
    const listeners = new Set<(configuration: VersionedConfiguration) => void>();
    const ring = createRecordRing();
    const buffered = new Map<number, VersionRecord>();
    const versionsByPatchId = new Map<string, number>();
    let snapshot: ConfigurationSnapshot = { version: 0, document: {}, digest: digestDocument({}), patchIds: [] };
    let current: VersionedConfiguration = { version: 0, content: completeConfiguration({}) };
    let dueSnapshot: ConfigurationSnapshot | undefined;
    let highestKnownVersion = 0;

    function recordPatchId(patchId: string, version: number): void {
        versionsByPatchId.set(patchId, version);
        if (versionsByPatchId.size > configurationConstants.maximumKeptPatchIds) {
            const [oldest] = versionsByPatchId.keys();
            versionsByPatchId.delete(oldest as string);
        }
    }

    function putInForce(next: Omit<ConfigurationSnapshot, "patchIds">, text: string): void {
        const { version } = next;
        snapshot = { ...next, patchIds: [] };
        current = { version, content: completeConfiguration(next.document) };
        highestKnownVersion = Math.max(highestKnownVersion, version);
        if (version % configurationConstants.versionsPerSnapshot === 0) {
            dueSnapshot = createSnapshot();
        }
        for (const bufferedVersion of [...buffered.keys()].filter(number => number <= version)) {
            buffered.delete(bufferedVersion);
        }
        events.record({ kind: EventKind.ConfigurationInForce, version, text });
        for (const listener of listeners) {
            listener(current);
        }
    }

    function applyNext(record: VersionRecord): ApplyOutcome {
        const document = applyPatch(snapshot.document, record.patch);
        const digest = updateDigest(snapshot.digest, snapshot.document, document, record.patch);
        if (digest !== record.digest) {
            return ApplyOutcome.Diverged;
        }
        ring.add(record);
        recordPatchId(record.patchId, record.version);
        putInForce({ version: record.version, document, digest }, `Version ${record.version} is in force.`);
        return ApplyOutcome.Applied;
    }

    function applyRecord(record: VersionRecord): ApplyOutcome {
        highestKnownVersion = Math.max(highestKnownVersion, record.version);
        if (record.version <= snapshot.version) {
            return ApplyOutcome.NotNewer;
        }
        if (record.version > snapshot.version + 1) {
            if (buffered.size < configurationConstants.maximumBufferedRecords) {
                buffered.set(record.version, record);
            }
            return ApplyOutcome.Buffered;
        }
        let outcome = applyNext(record);
        for (let next = buffered.get(snapshot.version + 1); next !== undefined && outcome === ApplyOutcome.Applied;) {
            outcome = applyNext(next);
            next = buffered.get(snapshot.version + 1);
        }
        return outcome;
    }

    function restore(restored: ConfigurationSnapshot): boolean {
        if (restored.version <= snapshot.version || digestDocument(restored.document) !== restored.digest) {
            return false;
        }
        ring.clear();
        for (const [patchId, version] of restored.patchIds) {
            recordPatchId(patchId, version);
        }
        putInForce(restored, `Version ${restored.version} is in force, restored from a snapshot.`);
        return true;
    }

    function createSnapshot(): ConfigurationSnapshot {
        return { ...snapshot, patchIds: [...versionsByPatchId] };
    }

    return {
        current: () => current,
        snapshot: createSnapshot,
        snapshotDue: () => dueSnapshot,
        applyRecord,
        restore,
        recordsAfter: version => ring.listAfter(version, snapshot.version),
        versionOfPatch: patchId => versionsByPatchId.get(patchId),
        recordKnownVersion: version => {
            highestKnownVersion = Math.max(highestKnownVersion, version);
        },
        highestKnownVersion: () => highestKnownVersion,
        onChange: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
    };
}
