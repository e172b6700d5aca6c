import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import type { GroupRecord } from "../../topology/types/GroupRecord.js";
import { failoverConstants } from "../constants.js";
import { majorityOf } from "../majorityOf/index.js";
import type { GroupAction } from "../types/GroupAction.js";
import { GroupActionKind } from "../types/GroupActionKind.js";
import type { GroupView } from "../types/GroupView.js";
import { ProbeVerdict } from "../types/ProbeVerdict.js";

const wait = (reason: string): GroupAction => ({ kind: GroupActionKind.Wait, reason });

function listAliveStatuses(view: GroupView): readonly EndpointStatus[] {
    return view.observations.flatMap(({ verdict, status }) =>
        verdict === ProbeVerdict.Alive && status !== undefined ? [status] : []
    );
}

function isDisconnectedFromPrimary(status: EndpointStatus): boolean {
    return (status.primarySilenceMilliseconds ?? 0) >= failoverConstants.primaryContactTimeoutMilliseconds;
}

/** Decides for a group without a record: starts the group, or checks the endpoint that the replicas still follow. */
function decideWithoutRecord(view: GroupView, alive: readonly EndpointStatus[]): GroupAction {
    const total = view.observations.length;
    if (alive.length < majorityOf(total)) {
        return wait(`only ${alive.length} of ${total} endpoints answer`);
    }
    const isFollowing = alive.some(status =>
        status.role === EndpointRole.Replica && !isDisconnectedFromPrimary(status)
    );
    const missing = view.observations.find(({ endpoint }) => alive.every(status => status.endpoint !== endpoint));
    if (isFollowing && missing !== undefined) {
        return {
            kind: GroupActionKind.VerifyPrimary,
            endpoint: missing.endpoint,
            reason: "no primary is recorded and the replicas follow an endpoint that does not answer this gateway",
        };
    }
    if (alive.length < total && view.watchedForMilliseconds < failoverConstants.firstStartGraceMilliseconds) {
        return wait(`waiting for ${missing?.endpoint} before the first start`);
    }
    return {
        kind: GroupActionKind.ChangePrimary,
        reason: "no endpoint is the primary",
        preferred: view.initialPrimary,
    };
}

/** Decides for a recorded primary that answers but is no longer the primary of the recorded term. */
function decideWithoutPrimary(view: GroupView, record: GroupRecord, primary: EndpointStatus): GroupAction {
    const grace = failoverConstants.minimumBackoffMilliseconds;
    if (primary.fencedTerm > record.term && view.fencedAheadForMilliseconds < grace) {
        return wait("another coordinator is changing the primary");
    }
    const reason =
        `${record.primary} is ${primary.role} at term ${primary.term}, not the primary of term ${record.term}`;
    return { kind: GroupActionKind.ChangePrimary, reason };
}

function findSuccessor(
    view: GroupView,
    alive: readonly EndpointStatus[],
    primary: EndpointStatus,
): EndpointStatus | undefined {
    const leastPosition = primary.position - failoverConstants.successorLagEntries;
    const caughtUp = alive.filter(status =>
        status.role === EndpointRole.Replica && status.term === primary.term && status.position >= leastPosition
        && !view.leaving.has(status.endpoint) && !isDisconnectedFromPrimary(status)
    );
    return caughtUp.sort((left, right) => right.position - left.position)[0];
}

/** Decides for a recorded primary that serves the recorded term. */
function decideWithPrimary(
    view: GroupView,
    record: GroupRecord,
    alive: readonly EndpointStatus[],
    primary: EndpointStatus,
): GroupAction {
    const replicas = alive.filter(status => status.endpoint !== record.primary);
    const total = view.observations.length;
    if (replicas.length === total - 1 && total > 1 && replicas.every(isDisconnectedFromPrimary)) {
        const reason = "no replica is in contact with the primary";
        return { kind: GroupActionKind.VerifyPrimary, endpoint: record.primary, reason };
    }
    if (view.leaving.has(record.primary)) {
        const successor = findSuccessor(view, alive, primary);
        return successor === undefined
            ? wait(`${record.primary} is leaving and no replica has caught up`)
            : { kind: GroupActionKind.PlannedChange, record, successor: successor.endpoint };
    }
    if (view.fencedAheadForMilliseconds >= failoverConstants.fencedAheadToleranceMilliseconds) {
        const reason = "an endpoint was fenced above the current term";
        return { kind: GroupActionKind.ChangePrimary, reason, preferred: record.primary };
    }
    const notFollowing = replicas.filter(status =>
        status.fencedTerm < record.term || (status.role !== EndpointRole.Replica && status.fencedTerm === record.term)
    );
    return notFollowing.length === 0
        ? wait(`${record.primary} serves term ${record.term}`)
        : { kind: GroupActionKind.Repair, record, endpoints: notFollowing.map(status => status.endpoint) };
}

/**
 * Decides on the next action of a coordinator for its group.
 *
 * @param view The recorded term and the observation of each endpoint.
 * @returns The action; `Wait` when no action is needed or possible now.
 *
 * @example
 * const action = decideGroupAction(view);
 * await handlers[action.kind](action);
 */
export function decideGroupAction(view: GroupView): GroupAction {
    const { record } = view;
    const alive = listAliveStatuses(view);
    const newest = alive
        .filter(status => status.role === EndpointRole.Primary && status.term > (record?.term ?? 0))
        .sort((left, right) => right.term - left.term)[0];
    if (newest !== undefined && alive.every(status => status.fencedTerm <= newest.term)) {
        return { kind: GroupActionKind.PublishNewerPrimary, status: newest };
    }
    if (record === undefined) {
        return decideWithoutRecord(view, alive);
    }
    const primary = alive.find(status => status.endpoint === record.primary);
    if (primary === undefined) {
        const verdict = view.observations.find(({ endpoint }) => endpoint === record.primary)?.verdict;
        return verdict === ProbeVerdict.Unknown
            ? wait(`${record.primary} has not been probed yet`)
            : {
                kind: GroupActionKind.VerifyPrimary,
                endpoint: record.primary,
                reason: `its probe result is ${verdict}`,
            };
    }
    return primary.role === EndpointRole.Primary && primary.term === record.term
        ? decideWithPrimary(view, record, alive, primary)
        : decideWithoutPrimary(view, record, primary);
}
