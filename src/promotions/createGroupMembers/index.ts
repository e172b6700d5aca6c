import { z } from "zod";
import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { RecordStore } from "../../directory/types/RecordStore.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import { comparePositions } from "../../statements/comparePositions/index.js";
import type { ReplicaStatus } from "../../statements/types/ReplicaStatus.js";
import { promotionConstants } from "../constants.js";
import { createHolderRecord } from "../createHolderRecord/index.js";
import { readEndpointStatus } from "../readEndpointStatus/index.js";
import type { EndpointControl } from "../types/EndpointControl.js";
import type { GroupMembers } from "../types/GroupMembers.js";

/** Options of `createGroupMembers`. */
interface GroupMembersOptions {
    readonly clock: Clock;
    readonly directory: Pick<Directory, "endpointsOf" | "groupSettings" | "highestVersion">;
    readonly primaries: Pick<Primaries, "primaryOf" | "termOf">;
    readonly records: RecordStore;
    readonly control: Pick<EndpointControl, "runFromAnyVm">;
    /** Token of this VM while it holds the failover duty. */
    readonly heldToken: () => number | undefined;
    readonly log: LogTopic;
}

/** Content of the record of members in the platform's store. */
const recordSchema = z.object({ groups: z.record(z.string(), z.array(z.string())) });

/**
 * Creates the holder's knowledge of the members of groups with synchronous replicas.
 *
 * A commit that one replica has received may be on no other. So a replica that is lost, or that started anew and knows
 * nothing of before, counts as a member that does not answer, until enough other replicas have received all that the
 * primary had when the loss was known. The members are recorded in the store, for the next holder.
 *
 * @param options Clock, known endpoints and primaries, the store, and access to the endpoints.
 * @returns The members, none known.
 *
 * @example
 * members.update("orders");
 * members.countOf("orders"); // => 3
 */
export function createGroupMembers(options: GroupMembersOptions): GroupMembers {
    const { clock, directory, primaries, control, log } = options;
    const membersByGroup = new Map<string, Set<string>>();
    const record = createHolderRecord({
        ...options,
        name: promotionConstants.membersRecordName,
        schema: recordSchema,
        empty: { groups: {} },
        intervalMilliseconds: 0,
        merge: ({ groups }) =>
            Object.entries(groups).forEach(([group, members]) =>
                members.forEach(member => membersOf(group).add(member))
            ),
        createContent: () => ({
            groups: Object.fromEntries([...membersByGroup].map(([group, members]) => [group, [...members].sort()])),
        }),
    });
    const checkedAt = new Map<string, number>();

    function membersOf(group: string): Set<string> {
        let members = membersByGroup.get(group);
        if (members === undefined) {
            members = new Set();
            membersByGroup.set(group, members);
        }
        return members;
    }

    function update(group: string): void {
        if (synchronousReplicasOf(group) === 0) {
            return;
        }
        const members = membersOf(group);
        const present = directory.endpointsOf(group).map(toMember);
        for (const member of present.filter(name => !members.has(name))) {
            members.add(member);
            record.markChanged();
            log("endpoint counts as a member of its group", { group, member, members: members.size });
        }
        void record.synchronize();
        const absent = [...members].filter(member => !present.includes(member));
        const isCheckDue =
            clock.now() - (checkedAt.get(group) ?? -Infinity) >= promotionConstants.memberCheckMilliseconds;
        if (absent.length > 0 && isCheckDue) {
            checkedAt.set(group, clock.now());
            void removeCovered(group, absent);
        }
    }

    function synchronousReplicasOf(group: string): number {
        return directory.groupSettings(group)?.synchronousReplicas ?? 0;
    }

    /** Removes absent members once enough others have received all that the primary has. */
    async function removeCovered(group: string, absent: readonly string[]): Promise<void> {
        const primary = primaries.primaryOf(group);
        const logEnd = primary && await queryStatus(primary);
        if (primary === undefined || logEnd?.isPrimary !== true || logEnd.term < primaries.termOf(group)) {
            return;
        }
        const others = directory.endpointsOf(group).filter(({ id }) => id !== primary.id);
        const statuses = await Promise.all(others.map(queryStatus));
        const covering = statuses.filter(status =>
            status !== undefined && !status.isPrimary && comparePositions(status.received, logEnd.received) >= 0
        );
        if (covering.length < synchronousReplicasOf(group)) {
            return;
        }
        absent.forEach(member => membersOf(group).delete(member));
        record.markChanged();
        log("absent members are no longer needed: others have received all of their commits", {
            group,
            absent,
            logEnd: logEnd.received,
            members: membersOf(group).size,
        });
    }

    function queryStatus({ id }: EndpointRecord): Promise<ReplicaStatus | undefined> {
        return readEndpointStatus(control, id).catch(() => undefined);
    }

    return {
        update,
        countOf: group => record.isLoaded() ? membersOf(group).size : undefined,
    };
}

/** Names the process of an endpoint: one that starts anew holds nothing of before. */
function toMember({ id, startedAt }: EndpointRecord): string {
    return `${id}@${startedAt}`;
}
