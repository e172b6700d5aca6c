import { z } from "zod";
import type { Clock } from "../../clock/types/Clock.js";
import { compareStoreVersions } from "../../directory/compareStoreVersions/index.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { RecordStore } from "../../directory/types/RecordStore.js";
import type { StoreVersion } from "../../directory/types/StoreVersion.js";
import type { Duty } from "../../duty/types/Duty.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { promotionConstants } from "../constants.js";
import { createHolderRecord } from "../createHolderRecord/index.js";
import type { SharedEndpoints } from "../types/SharedEndpoints.js";

/** Options of `createSharedEndpoints`. */
interface SharedEndpointsOptions {
    readonly clock: Clock;
    readonly directory: Pick<Directory, "endpointsOf" | "groups" | "highestVersion" | "onChange">;
    readonly duty: Pick<Duty, "findCommonVersion" | "heldToken">;
    readonly records: RecordStore;
    readonly log: LogTopic;
}

/** When an endpoint appeared in the directory of this VM. */
interface Appearance {
    readonly group: string;
    /** Version of the store by which the endpoint had a record. */
    readonly version: StoreVersion;
    readonly seenAt: number;
}

/** Content of the record in the platform's store. */
const recordSchema = z.object({ endpointIds: z.array(z.string()) });

/**
 * Creates the holder's knowledge of the endpoints that every VM knows which may verify a primary without a lease.
 *
 * Such a VM queries the endpoints in its directory, which may be as old as its last contact with a holder. An endpoint
 * counts as known to all once all VMs have reported a directory that has it, or once it is older than such a contact may
 * be. It stays known until its record disappears. What one holder finds out is recorded in the store for the next.
 *
 * @param options Clock, known endpoints, what the VMs reported, and the store.
 * @returns The knowledge, of no endpoint yet.
 *
 * @example
 * shared.update();
 * shared.isKnownToAll(endpoint); // => true
 */
export function createSharedEndpoints(options: SharedEndpointsOptions): SharedEndpoints {
    const { clock, directory, duty, log } = options;
    const appearances = new Map<string, Appearance>();
    const idsByGroup = new Map<string, readonly string[]>();
    const knownIds = new Set<string>();
    /** Endpoints that appeared, and are not known to all yet. */
    const newIds = new Set<string>();
    const record = createHolderRecord({
        ...options,
        heldToken: duty.heldToken,
        name: promotionConstants.sharedEndpointsRecordName,
        schema: recordSchema,
        empty: { endpointIds: [] },
        intervalMilliseconds: promotionConstants.sharedEndpointsIntervalMilliseconds,
        merge: ({ endpointIds }) => endpointIds.filter(id => appearances.has(id)).forEach(markKnown),
        createContent: () => ({ endpointIds: [...knownIds].sort() }),
    });

    directory.onChange(groups => groups.forEach(followGroup));
    directory.groups().forEach(followGroup);

    function followGroup(group: string): void {
        const formerIds = idsByGroup.get(group) ?? [];
        const ids = directory.endpointsOf(group).map(({ id }) => id);
        idsByGroup.set(group, ids);
        formerIds.filter(id => !ids.includes(id)).forEach(forget);
        const appearance = { group, version: directory.highestVersion(), seenAt: clock.now() };
        for (const id of ids.filter(each => !formerIds.includes(each))) {
            appearances.set(id, appearance);
            newIds.add(id);
        }
    }

    function forget(id: string): void {
        appearances.delete(id);
        newIds.delete(id);
        if (knownIds.delete(id)) {
            record.markChanged();
        }
    }

    function markKnown(id: string): void {
        newIds.delete(id);
        if (!knownIds.has(id)) {
            knownIds.add(id);
            record.markChanged();
        }
    }

    function update(): void {
        const commonVersion = newIds.size === 0 ? undefined : duty.findCommonVersion();
        for (const id of newIds) {
            const { group, version, seenAt } = appearances.get(id)!;
            const age = clock.now() - seenAt;
            const isReported = commonVersion !== undefined && compareStoreVersions(version, commonVersion) <= 0;
            if (isReported || age >= promotionConstants.sharedEndpointMilliseconds) {
                markKnown(id);
                log("endpoint is known to all VMs", { group, endpoint: id, isReported, age: Math.round(age) });
            }
        }
        void record.synchronize();
    }

    return { update, isKnownToAll: ({ id }) => knownIds.has(id) };
}
