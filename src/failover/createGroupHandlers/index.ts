import { EventKind } from "../../events/types/EventKind.js";
import { changePrimary } from "../changePrimary/index.js";
import { confirmSuspicion } from "../confirmSuspicion/index.js";
import { confirmTerm } from "../confirmTerm/index.js";
import { failoverConstants } from "../constants.js";
import { tellToFollow } from "../tellToFollow/index.js";
import type { CoordinatedGroup } from "../types/CoordinatedGroup.js";
import type { EndpointProbe } from "../types/EndpointProbe.js";
import type { GroupAction } from "../types/GroupAction.js";
import { GroupActionKind } from "../types/GroupActionKind.js";
import { PrimaryJudgement } from "../types/PrimaryJudgement.js";
import { ProbeVerdict } from "../types/ProbeVerdict.js";

/** A handler for each kind of action. */
type GroupHandlers = {
    readonly [Kind in GroupActionKind]: (action: Extract<GroupAction, { kind: Kind; }>) => Promise<void>;
};

/** Options of `createGroupHandlers`. */
interface GroupHandlersOptions {
    /** Endpoints that shall not be primary, since they are leaving. */
    readonly leaving: () => ReadonlySet<string>;
}

/**
 * Creates the handlers of a coordinator's actions.
 *
 * @param group The group.
 * @param options Which endpoints are leaving.
 * @returns A handler for each kind of action; each does one step and returns.
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

    /** Fencing a minority would only stop its replicas, so nothing is fenced while a majority is out of reach. */
    function hasMajorityInReach(): boolean {
        const unreachable = listUnreachable();
        if (group.probes.size - unreachable.length >= group.majority) {
            return true;
        }
        group.reportWaiting(
            `Can't promote in ${database}: ${unreachable.join(" and ")} can't be reached; bring one of them back.`,
        );
        return false;
    }

    /** Among equally advanced endpoints one in the region of the last primary is preferred, near the same callers. */
    function findNeighbour(): string | undefined {
        const primary = group.probes.get(group.record()?.primary ?? "")?.definition;
        const isNeighbour = ({ definition }: EndpointProbe): boolean =>
            definition.region === primary?.region && definition.name !== primary.name;
        return [...group.probes.values()].find(isNeighbour)?.definition.name;
    }

    async function promoteAvoiding(suspects: readonly string[], reason: string, preferred?: string): Promise<void> {
        if (!hasMajorityInReach()) {
            return;
        }
        const startedAt = clock.now();
        const avoided = new Set([...options.leaving(), ...suspects]);
        const record = await changePrimary(group, { reason, avoided, preferred: preferred ?? findNeighbour() });
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
            text: `${record.primary} is primary of ${database}, ${milliseconds} ms after the suspicion.`,
        });
    }

    async function confirm(
        { endpoint, reason }: Extract<GroupAction, { kind: GroupActionKind.ConfirmSuspicion; }>,
    ): Promise<void> {
        const suspect = group.probes.get(endpoint);
        if (suspect === undefined || clock.now() < nextSuspicionAt) {
            return;
        }
        if (suspectedSince === undefined) {
            suspectedSince = clock.now();
            const text = `Suspecting ${endpoint}: ${reason}.`;
            events.record({ kind: EventKind.EndpointSuspected, database, endpoint, term: group.record()?.term, text });
        }
        const suspectedForMilliseconds = clock.now() - suspectedSince;
        const judgement = await confirmSuspicion(group, suspect, { suspectedForMilliseconds });
        if (judgement === PrimaryJudgement.Failed) {
            await promoteAvoiding([endpoint], `${endpoint} failed (${reason})`);
        }
        else if (judgement === PrimaryJudgement.Serving) {
            suspectedSince = undefined;
            nextSuspicionAt = clock.now() + failoverConstants.servingPauseMilliseconds;
        }
    }

    async function adopt({ status }: Extract<GroupAction, { kind: GroupActionKind.Adopt; }>): Promise<void> {
        const { term, endpoint } = status;
        const record = await confirmTerm(group, { term, primary: endpoint }).catch(() => undefined);
        if (record === undefined) {
            await promoteAvoiding([endpoint], `term ${term} of ${endpoint} can't be confirmed`);
            return;
        }
        group.publish(record);
        suspectedSince = undefined;
        const text = `Adopted ${endpoint}, primary of ${database} in term ${term}.`;
        events.record({ kind: EventKind.FailoverEnded, database, endpoint, term, text });
    }

    /**
     * First the leaving primary itself gets a new term, under which no caller writes yet, so that its successor can
     * copy the log to the end; then the successor is promoted.
     */
    async function changeAsPlanned(
        { record, successor }: Extract<GroupAction, { kind: GroupActionKind.PlannedChange; }>,
    ): Promise<void> {
        if (clock.now() < nextPlannedChangeAt || !hasMajorityInReach()) {
            return;
        }
        nextPlannedChangeAt = clock.now() + failoverConstants.plannedChangeIntervalMilliseconds;
        const reason = `${record.primary} is leaving`;
        const settled = await changePrimary(group, {
            reason: `${reason}, letting ${successor} copy its log to the end`,
            avoided: new Set(),
            preferred: record.primary,
            requiredHolder: successor,
        });
        if (settled === undefined) {
            return;
        }
        await promoteAvoiding([record.primary], reason, successor);
        if ((group.record()?.term ?? 0) < settled.term) {
            group.publish(settled);
        }
    }

    async function repair(
        { record, endpoints }: Extract<GroupAction, { kind: GroupActionKind.Repair; }>,
    ): Promise<void> {
        if (clock.now() >= nextRepairAt) {
            nextRepairAt = clock.now() + failoverConstants.repairIntervalMilliseconds;
            await tellToFollow(group, { term: record.term, primary: record.primary, endpoints });
        }
    }

    return {
        [GroupActionKind.Adopt]: adopt,
        [GroupActionKind.ChangePrimary]: ({ reason, preferred }) => promoteAvoiding([], reason, preferred),
        [GroupActionKind.ConfirmSuspicion]: confirm,
        [GroupActionKind.PlannedChange]: changeAsPlanned,
        [GroupActionKind.Repair]: repair,
        [GroupActionKind.Wait]: async () => {
            suspectedSince = undefined;
        },
    };
}
