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

function heardStatuses(view: GroupView): readonly EndpointStatus[] {
    return view.observations.flatMap(({ verdict, status }) =>
        verdict === ProbeVerdict.Alive && status !== undefined ? [status] : []
    );
}

function isCutFromPrimary(status: EndpointStatus): boolean {
    return (status.primarySilenceMilliseconds ?? 0) >= failoverConstants.primarySilenceMilliseconds;
}

/** With no record known: start a new group, or find the primary that the replicas still hear. */
function decideWithoutRecord(view: GroupView, heard: readonly EndpointStatus[]): GroupAction {
    const total = view.observations.length;
    if (heard.length < majorityOf(total)) {
        return wait(`only ${heard.length} of ${total} endpoints answer`);
    }
    const isFollowing = heard.some(status => status.role === EndpointRole.Replica && !isCutFromPrimary(status));
    const unheard = view.observations.find(({ endpoint }) => heard.every(status => status.endpoint !== endpoint));
    if (isFollowing && unheard !== undefined) {
        return {
            kind: GroupActionKind.ConfirmSuspicion,
            endpoint: unheard.endpoint,
            reason: "no primary is recorded and the replicas follow one that does not answer here",
        };
    }
    if (heard.length < total && view.watchedForMilliseconds < failoverConstants.firstStartGraceMilliseconds) {
        return wait(`waiting for ${unheard?.endpoint} before a first start`);
    }
    return {
        kind: GroupActionKind.ChangePrimary,
        reason: "no endpoint is primary",
        preferred: view.initialPrimary,
    };
}

/** What follows when the recorded primary answers and says that it no longer is the primary of the recorded term. */
function decideWithoutPrimary(view: GroupView, record: GroupRecord, primary: EndpointStatus): GroupAction {
    const grace = failoverConstants.shortestStandBackMilliseconds;
    if (primary.fencedTerm > record.term && view.strandedForMilliseconds < grace) {
        return wait("another coordinator is changing the primary");
    }
    const reason = `${record.primary} is ${primary.role} at term ${primary.term}, not primary of term ${record.term}`;
    return { kind: GroupActionKind.ChangePrimary, reason };
}

function findSuccessor(
    view: GroupView,
    heard: readonly EndpointStatus[],
    primary: EndpointStatus,
): EndpointStatus | undefined {
    const leastPosition = primary.position - failoverConstants.successorLagEntries;
    const caughtUp = heard.filter(status =>
        status.role === EndpointRole.Replica && status.term === primary.term && status.position >= leastPosition
        && !view.leaving.has(status.endpoint) && !isCutFromPrimary(status)
    );
    return caughtUp.sort((left, right) => right.position - left.position)[0];
}

/** What follows while the recorded primary serves. */
function decideWithPrimary(
    view: GroupView,
    record: GroupRecord,
    heard: readonly EndpointStatus[],
    primary: EndpointStatus,
): GroupAction {
    const replicas = heard.filter(status => status.endpoint !== record.primary);
    const total = view.observations.length;
    if (replicas.length === total - 1 && total > 1 && replicas.every(isCutFromPrimary)) {
        const reason = "no replica hears the primary";
        return { kind: GroupActionKind.ConfirmSuspicion, endpoint: record.primary, reason };
    }
    if (view.leaving.has(record.primary)) {
        const successor = findSuccessor(view, heard, primary);
        return successor === undefined
            ? wait(`${record.primary} is leaving and no replica has caught up`)
            : { kind: GroupActionKind.PlannedChange, record, successor: successor.endpoint };
    }
    if (view.strandedForMilliseconds >= failoverConstants.strandedMilliseconds) {
        const reason = "an endpoint was fenced above the current term";
        return { kind: GroupActionKind.ChangePrimary, reason, preferred: record.primary };
    }
    const stragglers = replicas.filter(status =>
        status.fencedTerm < record.term || (status.role !== EndpointRole.Replica && status.fencedTerm === record.term)
    );
    return stragglers.length === 0
        ? wait(`${record.primary} serves term ${record.term}`)
        : { kind: GroupActionKind.Repair, record, endpoints: stragglers.map(status => status.endpoint) };
}

/**
 * Decides what a coordinator has to do for its group.
 *
 * @param view The recorded term and what was seen of each endpoint.
 * @returns The action; `Wait` when nothing is to be done now.
 *
 * @example
 * const action = decideGroupAction(view);
 * await handlers[action.kind](action);
 */
export function decideGroupAction(view: GroupView): GroupAction {
    const { record } = view;
    const heard = heardStatuses(view);
    const newest = heard
        .filter(status => status.role === EndpointRole.Primary && status.term > (record?.term ?? 0))
        .sort((left, right) => right.term - left.term)[0];
    if (newest !== undefined && heard.every(status => status.fencedTerm <= newest.term)) {
        return { kind: GroupActionKind.Adopt, status: newest };
    }
    if (record === undefined) {
        return decideWithoutRecord(view, heard);
    }
    const primary = heard.find(status => status.endpoint === record.primary);
    if (primary === undefined) {
        const verdict = view.observations.find(({ endpoint }) => endpoint === record.primary)?.verdict;
        return verdict === ProbeVerdict.Unknown
            ? wait(`${record.primary} has not been probed yet`)
            : { kind: GroupActionKind.ConfirmSuspicion, endpoint: record.primary, reason: `it is ${verdict}` };
    }
    return primary.role === EndpointRole.Primary && primary.term === record.term
        ? decideWithPrimary(view, record, heard, primary)
        : decideWithoutPrimary(view, record, primary);
}
