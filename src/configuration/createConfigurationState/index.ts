import { EventKind } from "../../events/types/EventKind.js";
import type { EventRecorder } from "../../events/types/EventRecorder.js";
import { applyPatch } from "../applyPatch/index.js";
import { completeConfiguration } from "../completeConfiguration/index.js";
import { configurationConstants } from "../constants.js";
import { createRecordRing } from "../createRecordRing/index.js";
import { digestDocument } from "../digestDocument/index.js";
import type { ConfigurationSnapshot } from "../types/ConfigurationSnapshot.js";
import type { ConfigurationState } from "../types/ConfigurationState.js";
import { TakeInOutcome } from "../types/TakeInOutcome.js";
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
 * state.takeIn(record);
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
        if (versionsByPatchId.size > configurationConstants.keptPatchIds) {
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

    function applyNext(record: VersionRecord): TakeInOutcome {
        const document = applyPatch(snapshot.document, record.patch);
        const digest = updateDigest(snapshot.digest, snapshot.document, document, record.patch);
        if (digest !== record.digest) {
            return TakeInOutcome.Diverged;
        }
        ring.add(record);
        recordPatchId(record.patchId, record.version);
        putInForce({ version: record.version, document, digest }, `Version ${record.version} is in force.`);
        return TakeInOutcome.Applied;
    }

    function applyRecord(record: VersionRecord): TakeInOutcome {
        highestKnownVersion = Math.max(highestKnownVersion, record.version);
        if (record.version <= snapshot.version) {
            return TakeInOutcome.Known;
        }
        if (record.version > snapshot.version + 1) {
            if (buffered.size < configurationConstants.maximumEarlyRecords) {
                buffered.set(record.version, record);
            }
            return TakeInOutcome.Early;
        }
        let outcome = applyNext(record);
        for (let next = buffered.get(snapshot.version + 1); next !== undefined && outcome === TakeInOutcome.Applied;) {
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
        takeIn: applyRecord,
        restore,
        recordsAfter: version => ring.after(version, snapshot.version),
        versionOfPatch: patchId => versionsByPatchId.get(patchId),
        hear: version => {
            highestKnownVersion = Math.max(highestKnownVersion, version);
        },
        highestHeard: () => highestKnownVersion,
        onChange: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
    };
}
