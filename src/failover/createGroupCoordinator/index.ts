import type { DatabaseDefinition } from "../../configuration/types/DatabaseDefinition.js";
import { RecordKind } from "../../dissemination/types/RecordKind.js";
import { failoverConstants } from "../constants.js";
import { createCoordinatedGroup } from "../createCoordinatedGroup/index.js";
import { createEndpointProbe } from "../createEndpointProbe/index.js";
import { createGroupHandlers } from "../createGroupHandlers/index.js";
import { decideGroupAction } from "../decideGroupAction/index.js";
import type { EndpointObservation } from "../types/EndpointObservation.js";
import type { EndpointProbe } from "../types/EndpointProbe.js";
import type { FailoverDependencies } from "../types/FailoverDependencies.js";
import type { GroupAction } from "../types/GroupAction.js";
import { GroupActionKind } from "../types/GroupActionKind.js";
import type { GroupState } from "../types/GroupState.js";
import type { GroupView } from "../types/GroupView.js";
import { ProbeVerdict } from "../types/ProbeVerdict.js";

/** The running coordinator of one group. */
interface GroupCoordinator {
    /** Probes all endpoints immediately. */
    probeNow(): void;
    state(): GroupState;
    stop(): Promise<void>;
}

/**
 * Creates the coordinator of one group and starts its loop: observe, decide, act, wait for a change.
 *
 * @param database Name of the database.
 * @param definition Definition of the database, with its endpoints.
 * @param dependencies Services that it uses.
 * @returns The coordinator, running.
 *
 * @example
 * const coordinator = createGroupCoordinator("stock", definition, dependencies);
 */
export function createGroupCoordinator(
    database: string,
    definition: DatabaseDefinition,
    dependencies: FailoverDependencies,
): GroupCoordinator {
    const { clock, dissemination, terms } = dependencies;
    const startedAt = clock.now();
    let fencedAheadSince: number | undefined;
    let lastTerm = 0;
    let termRecordedAt = startedAt;
    let isStopped = false;
    let hasChanged = true;
    let pause = new AbortController();

    function wake(): void {
        hasChanged = true;
        pause.abort();
    }

    const probes = new Map<string, EndpointProbe>();
    for (const [name, endpoint] of Object.entries(definition.endpoints)) {
        probes.set(name, createEndpointProbe({ ...endpoint, name }, dependencies, { onChange: wake }));
    }
    const group = createCoordinatedGroup(database, probes, dependencies);
    const handlers = createGroupHandlers(group, { leaving: listLeavingEndpoints });
    const observations = () => [...probes.values()].map(probe => probe.observation());

    /** Statuses read before the current term was recorded contain nothing about that term and count as unknown. */
    function currentObservations(): EndpointObservation[] {
        return observations().map(observation =>
            observation.verdict === ProbeVerdict.Alive && observation.heardAt < termRecordedAt
                ? { ...observation, verdict: ProbeVerdict.Unknown }
                : observation
        );
    }

    function recordTerm(term: number): void {
        if (term !== lastTerm) {
            lastTerm = term;
            termRecordedAt = clock.now();
            probeNow();
        }
    }

    function listLeavingEndpoints(): ReadonlySet<string> {
        const isLeaving = (probe: EndpointProbe): boolean =>
            probe.observation().status?.isLeaving === true
            || dissemination.get(RecordKind.EndpointLeaving, probe.definition.name)?.value === true;
        return new Set([...probes.values()].filter(isLeaving).map(probe => probe.definition.name));
    }

    function observeGroup(): GroupView {
        const record = group.record();
        recordTerm(record?.term ?? 0);
        const recordedTerm = record?.term ?? Infinity;
        const isFencedAhead = currentObservations().some(({ status }) => (status?.fencedTerm ?? 0) > recordedTerm);
        fencedAheadSince = isFencedAhead ? fencedAheadSince ?? clock.now() : undefined;
        for (const [name, probe] of probes) {
            probe.setProbeInterval(
                name === record?.primary
                    ? failoverConstants.primaryProbeIntervalMilliseconds
                    : failoverConstants.replicaProbeIntervalMilliseconds,
            );
        }
        return {
            record,
            observations: currentObservations(),
            initialPrimary: definition.initialPrimary,
            leaving: listLeavingEndpoints(),
            watchedForMilliseconds: clock.now() - startedAt,
            fencedAheadForMilliseconds: fencedAheadSince === undefined ? 0 : clock.now() - fencedAheadSince,
        };
    }

    async function runAction(action: GroupAction): Promise<void> {
        if (!group.isBackingOff() || action.kind === GroupActionKind.PublishNewerPrimary) {
            await handlers[action.kind](action as never);
        }
    }

    async function runCoordinatorLoop(): Promise<void> {
        while (!isStopped) {
            if (hasChanged) {
                hasChanged = false;
                pause = new AbortController();
            }
            await runAction(decideGroupAction(observeGroup()));
            if (hasChanged) {
                // An action that changes the observed state must not be repeated without a pause.
                await clock.sleep(failoverConstants.minimumPauseMilliseconds);
            }
            else if (!isStopped) {
                await clock.sleep(failoverConstants.groupTickMilliseconds, pause.signal);
            }
        }
    }

    function probeNow(): void {
        for (const probe of probes.values()) {
            void probe.refresh();
        }
    }

    async function stop(): Promise<void> {
        isStopped = true;
        pause.abort();
        await task;
        await Promise.all([...probes.values()].map(probe => probe.stop()));
    }

    const task = runCoordinatorLoop();
    return {
        probeNow,
        state: () => ({
            database,
            observations: observations(),
            reservedTerms: terms.count(database, group.highestTerm()),
            activity: group.activity(),
        }),
        stop,
    };
}
