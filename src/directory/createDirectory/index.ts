import type { Clock } from "../../clock/types/Clock.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { directoryConstants } from "../constants.js";
import type { Directory } from "../types/Directory.js";
import type { EndpointRecord } from "../types/EndpointRecord.js";
import type { FeedUpdate } from "../types/FeedUpdate.js";
import type { GroupSettings } from "../types/GroupSettings.js";
import type { Route } from "../types/Route.js";
import type { RoutingTable } from "../types/RoutingTable.js";

/**
 * Creates a VM's knowledge of endpoints and routes.
 *
 * Versions of the routing table only grow, and so do the revisions of an endpoint's record, whoever tells them. An
 * endpoint whose record vanished is forgotten after a while only, unless it was leaving.
 *
 * @param clock Source of time.
 * @param log Writes a line for each change.
 * @returns The directory, empty.
 *
 * @example
 * const directory = createDirectory(clock, logger.topic("directory"));
 * directory.applyRoutingTable(table);
 */
export function createDirectory(clock: Clock, log: LogTopic): Directory {
    const endpoints = new Map<string, EndpointRecord>();
    /** When records vanished, by id. */
    const vanishedAt = new Map<string, number>();
    /** Revisions of the records of endpoints that are gone, so that a VM that knows less cannot bring them back. */
    const goneRevisions = new Map<string, number>();
    /** Revisions at which records were missing, to be passed on to other VMs; the newest last. */
    const removals = new Map<string, number>();
    let highestRevision = 0;
    const listeners: ((groups: ReadonlySet<string>) => void)[] = [];
    let table: RoutingTable | undefined;
    let routes = new Map<string, Route>();
    let groupsByName = new Map<string, GroupSettings>();

    function applyEndpoints(update: FeedUpdate<EndpointRecord>): void {
        const changed = new Set<string>();
        for (const { name, revision, item, problem } of update.changes) {
            if (problem !== undefined) {
                log("record of an endpoint cannot be read", { endpoint: name, revision, problem });
            }
            if (item !== undefined) {
                store(item, changed);
            }
            else if (problem === undefined || endpoints.has(name)) {
                noteVanished(name, revision, changed);
            }
        }
        if (update.isWhole) {
            const listed = new Set(update.changes.map(change => change.name));
            for (const id of [...endpoints.keys()].filter(known => !listed.has(known))) {
                noteVanished(id, update.revision, changed);
            }
        }
        notify(changed);
    }

    function store(record: EndpointRecord, changed: Set<string>): void {
        const known = endpoints.get(record.id);
        if (record.revision <= (goneRevisions.get(record.id) ?? 0)) {
            return;
        }
        highestRevision = Math.max(highestRevision, record.revision);
        if (known !== undefined && known.revision >= record.revision) {
            return;
        }
        vanishedAt.delete(record.id);
        endpoints.set(record.id, record);
        changed.add(record.group);
        const { id, group, isLeaving, isPrimary, startedAt, revision, address: { availabilityZone } } = record;
        log("endpoint", { endpoint: id, group, availabilityZone, isLeaving, isPrimary, startedAt, revision });
    }

    function noteVanished(id: string, revision: number | undefined, changed: Set<string>): void {
        const known = endpoints.get(id);
        if (known === undefined || (revision !== undefined && known.revision > revision) || vanishedAt.has(id)) {
            return;
        }
        noteRemoval(id, revision ?? known.revision);
        log("record of an endpoint vanished", { endpoint: id, group: known.group, wasLeaving: known.isLeaving });
        if (known.isLeaving) {
            forget(known, changed);
            return;
        }
        vanishedAt.set(id, clock.now());
        void retire(known, vanishedAt.get(id)!);
    }

    function noteRemoval(id: string, revision: number): void {
        highestRevision = Math.max(highestRevision, revision);
        removals.delete(id);
        removals.set(id, revision);
        const oldest = removals.keys().next().value;
        if (removals.size > directoryConstants.rememberedRemovals && oldest !== undefined) {
            removals.delete(oldest);
        }
    }

    /** Lets an endpoint whose record vanished go, unless it registers again in between. */
    async function retire(record: EndpointRecord, noticedAt: number): Promise<void> {
        const changed = new Set([record.group]);
        const hasReturned = (): boolean => vanishedAt.get(record.id) !== noticedAt;
        await clock.sleep(directoryConstants.vanishedMilliseconds);
        if (hasReturned()) {
            return;
        }
        endpoints.set(record.id, { ...record, isLeaving: true });
        log("endpoint is taken as leaving", { endpoint: record.id, group: record.group });
        notify(changed);
        await clock.sleep(directoryConstants.departureMilliseconds);
        if (!hasReturned()) {
            forget(record, changed);
            notify(changed);
        }
    }

    function forget(record: EndpointRecord, changed: Set<string>): void {
        vanishedAt.delete(record.id);
        endpoints.delete(record.id);
        goneRevisions.set(record.id, record.revision);
        changed.add(record.group);
        log("endpoint is gone", { endpoint: record.id, group: record.group });
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
        notify(new Set(groupsByName.keys()));
        return true;
    }

    function notify(changed: ReadonlySet<string>): void {
        if (changed.size > 0) {
            listeners.forEach(listener => listener(changed));
        }
    }

    return {
        applyEndpoints,
        applyRoutingTable,
        revision: () => highestRevision,
        version: () => table?.version ?? 0,
        routingTable: () => table,
        routeOf: database => routes.get(database),
        groupSettings: group => groupsByName.get(group),
        endpoint: id => endpoints.get(id),
        endpointsOf: group => [...endpoints.values()].filter(endpoint => endpoint.group === group),
        groups: () => [...new Set([...endpoints.values()].map(endpoint => endpoint.group))],
        records: () => [...endpoints.values()],
        removals: () => [...removals].map(([id, revision]) => ({ id, revision })),
        onChange: listener => listeners.push(listener),
    };
}
