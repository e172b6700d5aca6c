import type { Clock } from "../../clock/types/Clock.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { FeedChange } from "../../directory/types/FeedChange.js";
import type { VersionedRecord } from "../../directory/types/VersionedRecord.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { SimulatedStore } from "../types/SimulatedStore.js";

/**
 * Creates the platform's store of a simulation: the endpoints' records with their history, and the VMs' own records.
 *
 * @param clock Source of time.
 * @returns The store, empty and available.
 *
 * @example
 * const store = createSimulatedStore(clock);
 * store.refusedVms.add("vm-1");
 */
export function createSimulatedStore(clock: Clock): SimulatedStore {
    const endpoints = new Map<string, FeedChange<EndpointRecord>>();
    const changes: FeedChange<EndpointRecord>[] = [];
    const records = new Map<string, VersionedRecord>();
    const watchers = new Set<() => void>();
    let revision = 0;

    function requireAvailable(vmName: string): void {
        if (!store.isAvailable || store.refusedVms.has(vmName)) {
            throw createError(ErrorKind.PlatformUnavailable, "The store refuses the call.", { remedy: "Retry later." });
        }
    }

    function appendChange(name: string, item: EndpointRecord | undefined): FeedChange<EndpointRecord> {
        const change = { name, revision, item };
        changes.push(change);
        [...watchers].forEach(notify => notify());
        return change;
    }

    function putEndpoint(record: Omit<EndpointRecord, "revision">): void {
        revision += 1;
        endpoints.set(record.id, appendChange(record.id, { ...record, revision }));
    }

    function removeEndpoint(id: string): void {
        if (endpoints.delete(id)) {
            revision += 1;
            appendChange(id, undefined);
        }
    }

    function listChangesAfter(known: number): readonly FeedChange<EndpointRecord>[] {
        return changes.filter(change => change.revision > known);
    }

    function waitForChange(known: number, milliseconds: number): Promise<void> {
        if (listChangesAfter(known).length > 0) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const finish = (): void => {
                cancelTimer();
                watchers.delete(finish);
                resolve();
            };
            const cancelTimer = clock.startTimer(milliseconds, finish);
            watchers.add(finish);
        });
    }

    function writeRecord(name: string, content: unknown, expectedRevision: number | undefined): VersionedRecord {
        if (records.get(name)?.revision !== expectedRevision) {
            throw createError(ErrorKind.Conflict, `Record ${name} has changed.`, { remedy: "Read the record again." });
        }
        revision += 1;
        const record = { revision, content };
        records.set(name, record);
        return record;
    }

    const store: SimulatedStore = {
        isAvailable: true,
        refusedVms: new Set(),
        requireAvailable,
        revision: () => revision,
        listEndpoints: () => [...endpoints.values()],
        listChangesAfter,
        waitForChange,
        putEndpoint,
        removeEndpoint,
        readRecord: name => records.get(name),
        writeRecord,
    };
    return store;
}
