import type { Clock } from "../../clock/types/Clock.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { FeedChange } from "../../directory/types/FeedChange.js";
import type { VersionedRecord } from "../../directory/types/VersionedRecord.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { SimulatedStore } from "../types/SimulatedStore.js";

/** A change of the store, kept so that the store can be restored from a copy. */
interface StoreChange {
    readonly at: number;
    readonly revision: number;
    readonly name: string;
    /** The endpoint's record after a change of the endpoints; undefined when it was removed. */
    readonly endpoint?: Omit<EndpointRecord, "era"> | undefined;
    /** Content after a change of a record. */
    readonly content?: unknown;
    readonly isRecord: boolean;
}

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
    let changes: StoreChange[] = [];
    const watchers = new Set<() => void>();
    let era = 1;
    let revision = 0;

    function requireAvailable(vmName: string): void {
        if (!store.isAvailable || store.refusedVms.has(vmName)) {
            throw createError(ErrorKind.PlatformUnavailable, "The store refuses the call.", { remedy: "Retry later." });
        }
    }

    function append(change: Omit<StoreChange, "at" | "revision">): void {
        revision += 1;
        changes.push({ ...change, at: clock.now(), revision });
        notifyWatchers();
    }

    function notifyWatchers(): void {
        [...watchers].forEach(notify => notify());
    }

    function findNewest(name: string, isRecord: boolean): StoreChange | undefined {
        return changes.findLast(change => change.isRecord === isRecord && change.name === name);
    }

    function toFeedChange(change: StoreChange): FeedChange<EndpointRecord> {
        const item = change.endpoint && { ...change.endpoint, era };
        return { name: change.name, era, revision: change.revision, item };
    }

    function listChangesAfter(known: number): readonly FeedChange<EndpointRecord>[] {
        return changes.filter(change => !change.isRecord && change.revision > known).map(toFeedChange);
    }

    function listEndpoints(): readonly FeedChange<EndpointRecord>[] {
        const newest = new Map(changes.filter(({ isRecord }) => !isRecord).map(change => [change.name, change]));
        return [...newest.values()].filter(({ endpoint }) => endpoint !== undefined).map(toFeedChange);
    }

    function findEndpoint(id: string): EndpointRecord | undefined {
        const change = findNewest(id, false);
        return change && toFeedChange(change).item;
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

    function readRecord(name: string): VersionedRecord | undefined {
        const change = findNewest(name, true);
        return change && { era, revision: change.revision, content: change.content };
    }

    function writeRecord(name: string, content: unknown, expectedRevision: number | undefined): VersionedRecord {
        if (readRecord(name)?.revision !== expectedRevision) {
            throw createError(ErrorKind.Conflict, `Record ${name} has changed.`, { remedy: "Read the record again." });
        }
        append({ name, content, isRecord: true });
        return readRecord(name)!;
    }

    const store: SimulatedStore = {
        isAvailable: true,
        refusedVms: new Set(),
        requireAvailable,
        version: () => ({ era, revision }),
        listEndpoints,
        findEndpoint,
        listChangesAfter,
        waitForChange,
        putEndpoint: endpoint =>
            append({ name: endpoint.id, endpoint: { ...endpoint, revision: revision + 1 }, isRecord: false }),
        removeEndpoint: name => {
            if (findEndpoint(name) !== undefined) {
                append({ name, isRecord: false });
            }
        },
        readRecord,
        writeRecord,
        restoreCopy: ageMilliseconds => {
            const copiedAt = clock.now() - ageMilliseconds;
            changes = changes.filter(({ at }) => at <= copiedAt);
            revision = changes.at(-1)?.revision ?? 0;
            era += 1;
            notifyWatchers();
        },
    };
    return store;
}
