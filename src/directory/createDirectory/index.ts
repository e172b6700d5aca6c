import type { Clock } from "../../clock/types/Clock.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Quota } from "../../workspaces/types/Quota.js";
import type { Workspace } from "../../workspaces/types/Workspace.js";
import { compareReports } from "../compareReports/index.js";
import { compareStoreVersions } from "../compareStoreVersions/index.js";
import { directoryConstants } from "../constants.js";
import { mergeEndpointRecords } from "../mergeEndpointRecords/index.js";
import type { Directory } from "../types/Directory.js";
import type { EndpointRecord } from "../types/EndpointRecord.js";
import type { FeedUpdate } from "../types/FeedUpdate.js";
import type { GroupSettings } from "../types/GroupSettings.js";
import type { Route } from "../types/Route.js";
import type { RoutingTable } from "../types/RoutingTable.js";
import type { StoreVersion } from "../types/StoreVersion.js";

const noVersion: StoreVersion = { era: 0, revision: 0 };

/**
 * Creates the directory of the endpoints and routes that a VM knows.
 *
 * A routing table is replaced only by one that the operator numbered higher, and an endpoint's record only by a newer one,
 * whichever process it comes from and whatever the store has lost meanwhile. An
 * endpoint whose record is missing from the store is removed after a delay, or at once if it was leaving.
 *
 * @param clock Source of time.
 * @param log Receives a line for each change.
 * @returns The directory, empty.
 *
 * @example
 * const directory = createDirectory(clock, logger.topic("directory"));
 * directory.applyRoutingTable(table);
 */
export function createDirectory(clock: Clock, log: LogTopic): Directory {
    const endpoints = new Map<string, EndpointRecord>();
    /** When records were found missing, by endpoint id. */
    const missingSince = new Map<string, number>();
    /** Last records of removed endpoints, so that older data from another VM or of a copy does not add them again. */
    const removedRecords = new Map<string, EndpointRecord>();
    /** Groups of the removed endpoints that had not left, and when they were removed. */
    const lostEndpoints = new Map<string, { readonly group: string; readonly removedAt: number; }>();
    /** Versions of the store at which records were missing, to be sent to other VMs; the newest last. */
    const removals = new Map<string, StoreVersion>();
    let highestVersion: StoreVersion = noVersion;
    /** Version of the store up to which this VM has read all records itself. */
    let completeVersion: StoreVersion = noVersion;
    const listeners: ((groups: ReadonlySet<string>) => void)[] = [];
    let table: RoutingTable | undefined;
    let routes = new Map<string, Route>();
    let groupsByName = new Map<string, GroupSettings>();
    let workspacesByKey = new Map<string, Workspace>();
    let quotasByName = new Map<string, Quota | undefined>();

    function applyEndpoints(update: FeedUpdate<EndpointRecord>): void {
        const changed = new Set<string>();
        const isFromOtherVm = update.version === undefined;
        // A VM that knows of a removal also sends the record, which is then removed after the usual delay.
        const removedNames = new Set(update.changes.filter(({ item }) => item === undefined).map(({ name }) => name));
        for (const { name, era, revision, item, problem } of update.changes) {
            if (problem !== undefined) {
                log("record of an endpoint cannot be decoded", { endpoint: name, era, revision, problem });
            }
            if (item !== undefined && (!isFromOtherVm || removedNames.has(name) || !isGone(item))) {
                storeRecord(item, changed);
            }
            else if (item === undefined && (problem === undefined || endpoints.has(name))) {
                markMissing(name, { era, revision }, changed);
            }
        }
        if (update.isSnapshot) {
            const listed = new Set(update.changes.map(change => change.name));
            for (const id of [...endpoints.keys()].filter(known => !listed.has(known))) {
                markMissing(id, update.version, changed);
            }
        }
        completeVersion = newerOf(completeVersion, update.version ?? noVersion);
        highestVersion = newerOf(newerOf(highestVersion, completeVersion), update.senderVersion ?? noVersion);
        notify(changed);
    }

    /** Whether another VM sent a record that was already missing when this VM read the store. */
    function isGone(record: EndpointRecord): boolean {
        return !endpoints.has(record.id) && compareStoreVersions(record, completeVersion) <= 0;
    }

    /** Whether a record says no more than was known of its endpoint when it was removed. */
    function isOfRemovedEndpoint(record: EndpointRecord): boolean {
        const removed = removedRecords.get(record.id);
        if (removed === undefined) {
            return false;
        }
        const isFromLaterEra = record.era > removed.era;
        return isFromLaterEra
            ? removed.isLeaving && compareReports(record, removed) <= 0
            : compareStoreVersions(record, removed) <= 0;
    }

    function storeRecord(received: EndpointRecord, changed: Set<string>): void {
        const known = endpoints.get(received.id);
        if (isOfRemovedEndpoint(received)) {
            logIgnored(received, removedRecords.get(received.id));
            return;
        }
        highestVersion = newerOf(highestVersion, received);
        const record = known === undefined ? received : mergeEndpointRecords(known, received);
        if (record === known) {
            logIgnored(received, known);
            return;
        }
        missingSince.delete(record.id);
        lostEndpoints.delete(record.id);
        endpoints.set(record.id, record);
        changed.add(record.group);
        const { id, group, isLeaving, isPrimary, startedAt, reportNumber, era, revision } = record;
        log("endpoint record changed", {
            endpoint: id,
            group,
            availabilityZone: record.address.availabilityZone,
            isLeaving,
            isPrimary,
            startedAt,
            reportNumber,
            era,
            revision,
        });
    }

    /** A record that is known already is no news, and comes with each update of another VM. */
    function logIgnored({ id, era, revision, reportNumber }: EndpointRecord, known: EndpointRecord | undefined): void {
        if (known?.era !== era || known.revision !== revision) {
            log("older record of an endpoint ignored", {
                endpoint: id,
                era,
                revision,
                reportNumber,
                knownEra: known?.era,
                knownRevision: known?.revision,
                knownReportNumber: known?.reportNumber,
            });
        }
    }

    function markMissing(id: string, version: StoreVersion | undefined, changed: Set<string>): void {
        const known = endpoints.get(id);
        if (known === undefined || missingSince.has(id)) {
            return;
        }
        if (version !== undefined && compareStoreVersions(known, version) > 0) {
            return;
        }
        recordRemoval(id, version ?? known);
        log("record of an endpoint is missing from the store", {
            endpoint: id,
            group: known.group,
            wasLeaving: known.isLeaving,
            era: version?.era,
            revision: version?.revision,
        });
        if (known.isLeaving) {
            remove(known, changed);
            return;
        }
        missingSince.set(id, clock.now());
        void removeAfterDelay(known, missingSince.get(id)!);
    }

    function recordRemoval(id: string, { era, revision }: StoreVersion): void {
        highestVersion = newerOf(highestVersion, { era, revision });
        removals.delete(id);
        removals.set(id, { era, revision });
        const oldest = removals.keys().next().value;
        if (removals.size > directoryConstants.maximumRemovals && oldest !== undefined) {
            removals.delete(oldest);
        }
    }

    /** Removes an endpoint whose record is missing, unless it registers again in the meantime. */
    async function removeAfterDelay(record: EndpointRecord, noticedAt: number): Promise<void> {
        const changed = new Set([record.group]);
        const hasRegistered = (): boolean => missingSince.get(record.id) !== noticedAt;
        await clock.sleep(directoryConstants.missingRecordMilliseconds);
        if (hasRegistered()) {
            return;
        }
        endpoints.set(record.id, { ...record, isLeaving: true });
        log("endpoint without a record is treated as leaving", { endpoint: record.id, group: record.group });
        notify(changed);
        await clock.sleep(directoryConstants.leavingMilliseconds);
        if (!hasRegistered()) {
            remove(record, changed);
            notify(changed);
        }
    }

    function remove(record: EndpointRecord, changed: Set<string>): void {
        missingSince.delete(record.id);
        endpoints.delete(record.id);
        removedRecords.set(record.id, record);
        if (!record.isLeaving) {
            lostEndpoints.set(record.id, { group: record.group, removedAt: clock.now() });
        }
        changed.add(record.group);
        log("endpoint removed", { endpoint: record.id, group: record.group });
    }

    function lostEndpointsOf(group: string, sinceMilliseconds: number): readonly string[] {
        return [...lostEndpoints]
            .filter(([, lost]) => lost.group === group && clock.now() - lost.removedAt < sinceMilliseconds)
            .map(([id]) => id);
    }

    function applyRoutingTable(next: RoutingTable): boolean {
        if (table !== undefined && next.version <= table.version) {
            return false;
        }
        log("routing table in force", {
            version: next.version,
            previousVersion: table?.version,
            routes: next.routes.length,
        });
        table = next;
        routes = new Map(next.routes.map(route => [route.database, route]));
        groupsByName = new Map(next.groups.map(settings => [settings.group, settings]));
        workspacesByKey = new Map(listKeys(next));
        quotasByName = new Map(next.workspaces?.map(({ name, quota }) => [name, quota]));
        notify(new Set(groupsByName.keys()));
        return true;
    }

    function isConfigured(group: string): boolean {
        return groupsByName.has(group);
    }

    function notify(changed: ReadonlySet<string>): void {
        if (changed.size > 0) {
            listeners.forEach(listener => listener(changed));
        }
    }

    return {
        applyEndpoints,
        applyRoutingTable,
        highestVersion: () => highestVersion,
        routingVersion: () => table?.version ?? 0,
        routingTable: () => table,
        routeOf: database => routes.get(database),
        workspaceOf: keyDigest => workspacesByKey.get(keyDigest),
        quotaOf: workspace => quotasByName.get(workspace),
        groupSettings: group => groupsByName.get(group),
        endpoint: id => endpoints.get(id),
        endpointsOf: group => [...endpoints.values()].filter(endpoint => endpoint.group === group),
        lostEndpointsOf,
        // A record of another writer may name a group that does not exist.
        groups: () => [...new Set([...endpoints.values()].map(({ group }) => group))].filter(isConfigured),
        records: () => [...endpoints.values()],
        removals: () => [...removals].map(([id, version]) => ({ id, ...version })),
        onChange: listener => listeners.push(listener),
    };
}

function* listKeys({ workspaces = [] }: RoutingTable): Generator<readonly [string, Workspace]> {
    for (const workspace of workspaces) {
        yield* workspace.keyDigests.map(digest => [digest, workspace] as const);
    }
}

function newerOf(left: StoreVersion, right: StoreVersion): StoreVersion {
    const { era, revision } = compareStoreVersions(left, right) >= 0 ? left : right;
    return { era, revision };
}
