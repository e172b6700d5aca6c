import { soakConstants } from "../../constants.js";
import { faultScopes } from "../../faultScopes.js";
import { FaultKind } from "../../types/FaultKind.js";
import { FaultScope } from "../../types/FaultScope.js";
import type { FaultSpan } from "../../types/FaultSpan.js";
import type { SoakHistory } from "../../types/SoakHistory.js";
import type { UnansweredStatement } from "../../types/UnansweredStatement.js";

/** Whether a fault disturbs a statement that was sent to a VM, and run by an endpoint if an id is given. */
type Disturbs = (span: FaultSpan, vm: number, endpointId: string | undefined) => boolean;

const disturbs: Readonly<Record<FaultScope, Disturbs>> = {
    [FaultScope.Planned]: () => false,
    [FaultScope.Vm]: (span, vm) => span.vm === vm,
    [FaultScope.Endpoint]: (span, _vm, endpointId) => endpointId === undefined || span.endpointId === endpointId,
    [FaultScope.Site]: () => true,
};

/** The signals of planned work, and for how long after one a VM owes an answer, in milliseconds. */
const plannedSignals: Partial<Record<FaultKind, { readonly name: string; readonly milliseconds: number; }>> = {
    [FaultKind.VmStopped]: { name: "SIGTERM", milliseconds: soakConstants.stopMilliseconds },
    [FaultKind.VmReloaded]: { name: "SIGHUP", milliseconds: soakConstants.configurationMilliseconds },
};
const plannedKinds = Object.keys(plannedSignals);

/**
 * Finds statements without an answer around planned work at their VM: those that an endpoint ran, and those that the VM
 * held for longer than a connection may take to end.
 *
 * Statements that reached the timeout of their route are not counted, nor those near a fault of their VM, its links, the
 * store, or the endpoint that ran them (any endpoint, if none did).
 *
 * @param history The history of a run.
 * @returns Yields a description of each such statement.
 *
 * @example
 * const unanswered = [...findUnansweredStatements(history)];
 */
export function* findUnansweredStatements(
    { unansweredStatements, executedStatements, faultSpans }: SoakHistory,
): Generator<string> {
    const endpointIds = new Map(executedStatements.map(({ id, endpointId }) => [id, endpointId]));
    for (const statement of unansweredStatements) {
        const { id, vm, sentAt, endedAt } = statement;
        const endpointId = endpointIds.get(id);
        const heldMilliseconds = endedAt - sentAt;
        const isOwed = heldMilliseconds < soakConstants.statementTimeoutMilliseconds
            && (endpointId !== undefined || heldMilliseconds > soakConstants.lostSlackMilliseconds);
        const planned = plannedKinds
            .map(kind => faultSpans.findLast(span => span.kind === kind && isPlannedAround(span, statement)))
            .find(span => span !== undefined);
        if (isOwed && planned !== undefined && !isDisturbed(statement, endpointId, faultSpans)) {
            const sentAfter = Math.round(sentAt - planned.from);
            const endedAfter = Math.round(endedAt - planned.from);
            yield `statement ${id} at VM ${vm}, sent ${sentAfter} ms after ${plannedSignals[planned.kind]!.name}, `
                + `${endpointId === undefined ? "not run" : `run at ${endpointId}`}, ended after ${endedAfter} ms`;
        }
    }
}

function isPlannedAround({ kind, vm, from }: FaultSpan, statement: UnansweredStatement): boolean {
    const signal = plannedSignals[kind];
    return signal !== undefined && vm === statement.vm
        && statement.endedAt >= from && statement.sentAt <= from + signal.milliseconds;
}

function isDisturbed(
    { vm, sentAt, endedAt }: UnansweredStatement,
    endpointId: string | undefined,
    faultSpans: readonly FaultSpan[],
): boolean {
    return faultSpans.some(span =>
        span.from <= endedAt && span.to >= sentAt - soakConstants.stableMilliseconds
        && disturbs[faultScopes[span.kind]](span, vm, endpointId)
    );
}
