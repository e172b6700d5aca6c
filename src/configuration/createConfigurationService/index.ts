import { RecordKind } from "../../dissemination/types/RecordKind.js";
import type { PlatformClient } from "../../objectStore/types/PlatformClient.js";
import { announceVersion } from "../announceVersion/index.js";
import { applyVersionAnnouncement } from "../applyVersionAnnouncement/index.js";
import { configurationConstants } from "../constants.js";
import { createAttachedEntries } from "../createAttachedEntries/index.js";
import { createConfigurationState } from "../createConfigurationState/index.js";
import { createConfigurationStore } from "../createConfigurationStore/index.js";
import { isRelay } from "../isRelay/index.js";
import { loadConfiguration } from "../loadConfiguration/index.js";
import { readVersionDocument } from "../readVersionDocument/index.js";
import { runRelay } from "../runRelay/index.js";
import { runRepairs } from "../runRepairs/index.js";
import { submitPatch } from "../submitPatch/index.js";
import type { ConfigurationDependencies } from "../types/ConfigurationDependencies.js";
import type { GatewayConfiguration } from "../types/GatewayConfiguration.js";
import type { PatchAnswer } from "../types/PatchAnswer.js";
import type { PatchRequest } from "../types/PatchRequest.js";
import type { VersionRecord } from "../types/VersionRecord.js";
import { writeDueSnapshot } from "../writeDueSnapshot/index.js";

/** Options of `createConfigurationService`. */
interface ConfigurationServiceOptions extends Omit<ConfigurationDependencies, "state" | "store"> {
    readonly platform: PlatformClient;
}

/**
 * Creates the configuration service of a gateway.
 *
 * At the start, the service loads the configuration from peers or, failing that, from the store. New versions arrive
 * through dissemination; a relay of the availability zone also watches the store. Missed versions are pulled from peers
 * or, failing that, read from the store.
 *
 * @param options Services that it uses, and the seed gateways.
 * @returns The service, at version 0 until it is started.
 *
 * @example
 * const configuration = createConfigurationService({ platform, membership, dissemination, peers, ...others });
 */
export function createConfigurationService(options: ConfigurationServiceOptions): GatewayConfiguration {
    const { membership, dissemination, events, clock } = options;
    const processName = membership.self.name;
    const state = createConfigurationState(events);
    const store = createConfigurationStore(options.platform, processName);
    const dependencies: ConfigurationDependencies = { ...options, state, store };
    const attachedEntries = createAttachedEntries();
    const closeController = new AbortController();
    const tasks = new Set<Promise<unknown>>();
    let isLoaded = false;
    let isRepairing = false;
    let writtenSnapshotVersion = 0;

    function track(task: Promise<unknown>): void {
        tasks.add(task);
        void task.finally(() => tasks.delete(task));
    }

    function startRepairIfBehind(): void {
        if (!isRepairing && !closeController.signal.aborted && state.highestKnownVersion() > state.current().version) {
            isRepairing = true;
            track(
                runRepairs(dependencies, closeController.signal).finally(() => {
                    isRepairing = false;
                }),
            );
        }
    }

    function announce(version: number): void {
        announceVersion(dissemination, version, state.recordsAfter(version - 1)?.[0]);
    }

    async function load(): Promise<void> {
        isLoaded = await loadConfiguration(dependencies, closeController.signal);
        for (const announcement of dissemination.list(RecordKind.ConfigurationVersion)) {
            applyVersionAnnouncement(state, announcement);
        }
        startRepairIfBehind();
    }

    async function start(): Promise<void> {
        state.onChange(({ version }) => announce(version));
        dissemination.onRecord(RecordKind.ConfigurationVersion, announcement => {
            applyVersionAnnouncement(state, announcement);
            startRepairIfBehind();
        });
        const loading = load();
        track(loading);
        await Promise.race([
            loading,
            clock.sleep(configurationConstants.startTimeoutMilliseconds, closeController.signal),
        ]);
        track(runRelay(dependencies, closeController.signal));
    }

    async function stop(): Promise<void> {
        closeController.abort();
        await Promise.allSettled(tasks);
    }

    async function submit(request: PatchRequest): Promise<PatchAnswer> {
        const answer = await submitPatch(request, dependencies);
        track(
            writeDueSnapshot(dependencies, writtenSnapshotVersion).then(written => {
                writtenSnapshotVersion = written;
            }),
        );
        return answer;
    }

    async function readRecords(first: number, last: number): Promise<readonly VersionRecord[]> {
        const kept = state.recordsAfter(first - 1);
        if (kept !== undefined) {
            return kept.filter(record => record.version <= last);
        }
        const records: VersionRecord[] = [];
        for await (const record of store.listRecords(first - 1)) {
            if (record.version > last) {
                break;
            }
            records.push(record);
        }
        return records;
    }

    return {
        state,
        current: state.current,
        onChange: state.onChange,
        start,
        stop,
        submitPatch: submit,
        readDocument: version => readVersionDocument(state, store, version),
        readRecords,
        status: () => ({
            process: processName,
            version: state.current().version,
            highestHeard: state.highestKnownVersion(),
            isLoaded,
            isRelay: isRelay(membership),
            entries: attachedEntries.list(),
        }),
        attachEntry: attachedEntries.attach,
        recordEntryVersion: attachedEntries.recordVersion,
    };
}
