import { EventKind } from "../../events/types/EventKind.js";
import { changePrimary } from "../changePrimary/index.js";
import { confirmTerm } from "../confirmTerm/index.js";
import { failoverConstants } from "../constants.js";
import { sendFollowOrders } from "../sendFollowOrders/index.js";
import type { CoordinatedGroup } from "../types/CoordinatedGroup.js";
import type { EndpointProbe } from "../types/EndpointProbe.js";
import type { GroupAction } from "../types/GroupAction.js";
import { GroupActionKind } from "../types/GroupActionKind.js";
import { PrimaryEvaluation } from "../types/PrimaryEvaluation.js";
import { ProbeVerdict } from "../types/ProbeVerdict.js";
import { verifySuspectedPrimary } from "../verifySuspectedPrimary/index.js";

/** A handler for each kind of action. */
type GroupHandlers = {
    readonly [Kind in GroupActionKind]: (action: Extract<GroupAction, { kind: Kind; }>) => Promise<void>;
};

/** Options of `createGroupHandlers`. */
interface GroupHandlersOptions {
    /** Lists endpoints that must not become primary because they are leaving. */
    readonly leaving: () => ReadonlySet<string>;
}

/**
 * Creates the handlers of a coordinator's actions.
 *
 * @param group The group.
 * @param options The function that lists leaving endpoints.
 * @returns A handler for each kind of action; each carries out one action and returns.
 *
 * @example
 * const handlers = createGroupHandlers(group, { leaving });
 * await handlers[GroupActionKind.Repair]({ kind: GroupActionKind.Repair, record, endpoints: ["stock-3"] });
 */
export function createGroupHandlers(group: CoordinatedGroup, options: GroupHandlersOptions): GroupHandlers {
    const { database, dependencies: { clock, events } } = group;
    let suspectedSince: number | undefined;
    let nextSuspicionAt = -Infinity;
    let nextRepairAt = -Infinity;
    let nextPlannedChangeAt = -Infinity;

    function listUnreachable(): string[] {
        return [...group.probes.values()]
            .filter(probe => probe.observation().verdict !== ProbeVerdict.Alive)
            .map(probe => probe.definition.name);
    }

    /** Fencing a minority would only stop the replicas in it, so nothing is fenced while a majority is unreachable. */
    function isMajorityReachable(): boolean {
        const unreachable = listUnreachable();
        if (group.probes.size - unreachable.length >= group.majority) {
            return true;
        }
        group.reportWaiting(
            `No endpoint of ${database} can be promoted: ${unreachable.join(" and ")} can't be reached; restore one.`,
        );
        return false;
    }

    /** Finds an endpoint in the last primary's region, near the same callers, to prefer among equally advanced ones. */
    function findEndpointInRegion(): string | undefined {
        const primary = group.probes.get(group.record()?.primary ?? "")?.definition;
        const isInRegion = ({ definition }: EndpointProbe): boolean =>
            definition.region === primary?.region && definition.name !== primary.name;
        return [...group.probes.values()].find(isInRegion)?.definition.name;
    }

    async function replacePrimary(suspects: readonly string[], reason: string, preferred?: string): Promise<void> {
        if (!isMajorityReachable()) {
            return;
        }
        const startedAt = clock.now();
        const avoided = new Set([...options.leaving(), ...suspects]);
        const record = await changePrimary(group, { reason, avoided, preferred: preferred ?? findEndpointInRegion() });
        if (record === undefined) {
            return;
        }
        group.publish(record);
        const since = suspectedSince ?? startedAt;
        suspectedSince = undefined;
        const milliseconds = Math.round(clock.now() - since);
        events.record({
            kind: EventKind.FailoverEnded,
            database,
            term: record.term,
            endpoint: record.primary,
            text: `${record.primary} is the primary of ${database}, ${milliseconds} ms after the suspicion.`,
        });
    }

    async function verifyPrimary(
        { endpoint, reason }: Extract<GroupAction, { kind: GroupActionKind.VerifyPrimary; }>,
    ): Promise<void> {
        const suspect = group.probes.get(endpoint);
        if (suspect === undefined || clock.now() < nextSuspicionAt) {
            return;
        }
        if (suspectedSince === undefined) {
            suspectedSince = clock.now();
            const text = `Endpoint ${endpoint} is suspected: ${reason}.`;
            events.record({ kind: EventKind.EndpointSuspected, database, endpoint, term: group.record()?.term, text });
        }
        const suspectedForMilliseconds = clock.now() - suspectedSince;
        const evaluation = await verifySuspectedPrimary(group, suspect, { suspectedForMilliseconds });
        if (evaluation === PrimaryEvaluation.Failed) {
            await replacePrimary([endpoint], `${endpoint} failed (${reason})`);
        }
        else if (evaluation === PrimaryEvaluation.Serving) {
            suspectedSince = undefined;
            nextSuspicionAt = clock.now() + failoverConstants.suspicionPauseMilliseconds;
        }
    }

    async function publishNewerPrimary(
        { status }: Extract<GroupAction, { kind: GroupActionKind.PublishNewerPrimary; }>,
    ): Promise<void> {
        const { term, endpoint } = status;
        const record = await confirmTerm(group, { term, primary: endpoint }).catch(() => undefined);
        if (record === undefined) {
            await replacePrimary([endpoint], `term ${term} of ${endpoint} can't be confirmed`);
            return;
        }
        group.publish(record);
        suspectedSince = undefined;
        const text = `Recorded ${endpoint} as the primary of ${database} in term ${term}.`;
        events.record({ kind: EventKind.FailoverEnded, database, endpoint, term, text });
    }

    /**
     * Promotes the leaving primary itself under a new term, in which no caller writes yet, so that its successor can
     * copy the whole log; then promotes the successor.
     */
    async function runPlannedChange(
        { record, successor }: Extract<GroupAction, { kind: GroupActionKind.PlannedChange; }>,
    ): Promise<void> {
        if (clock.now() < nextPlannedChangeAt || !isMajorityReachable()) {
            return;
        }
        nextPlannedChangeAt = clock.now() + failoverConstants.plannedChangeIntervalMilliseconds;
        const reason = `${record.primary} is leaving`;
        const intermediate = await changePrimary(group, {
            reason: `${reason}; first ${successor} copies the rest of the log`,
            avoided: new Set(),
            preferred: record.primary,
            requiredHolder: successor,
        });
        if (intermediate === undefined) {
            return;
        }
        await replacePrimary([record.primary], reason, successor);
        if ((group.record()?.term ?? 0) < intermediate.term) {
            group.publish(intermediate);
        }
    }

    async function repair(
        { record, endpoints }: Extract<GroupAction, { kind: GroupActionKind.Repair; }>,
    ): Promise<void> {
        if (clock.now() >= nextRepairAt) {
            nextRepairAt = clock.now() + failoverConstants.repairIntervalMilliseconds;
            await sendFollowOrders(group, { term: record.term, primary: record.primary, endpoints });
        }
    }

    return {
        [GroupActionKind.PublishNewerPrimary]: publishNewerPrimary,
        [GroupActionKind.ChangePrimary]: ({ reason, preferred }) => replacePrimary([], reason, preferred),
        [GroupActionKind.VerifyPrimary]: verifyPrimary,
        [GroupActionKind.PlannedChange]: runPlannedChange,
        [GroupActionKind.Repair]: repair,
        [GroupActionKind.Wait]: async () => {
            suspectedSince = undefined;
        },
    };
}
