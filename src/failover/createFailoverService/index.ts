import { isDeepStrictEqual } from "node:util";
import { findEndpoint } from "../../configuration/findEndpoint/index.js";
import type { DatabaseDefinition } from "../../configuration/types/DatabaseDefinition.js";
import { RecordKind } from "../../dissemination/types/RecordKind.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { EventKind } from "../../events/types/EventKind.js";
import { failoverConstants } from "../constants.js";
import { createCoordinatorIndex } from "../createCoordinatorIndex/index.js";
import { createGroupCoordinator } from "../createGroupCoordinator/index.js";
import { createReportForwarder } from "../createReportForwarder/index.js";
import { keepTermsReserved } from "../keepTermsReserved/index.js";
import { probeOnce } from "../probeOnce/index.js";
import type { FailoverDependencies } from "../types/FailoverDependencies.js";
import type { FailoverService } from "../types/FailoverService.js";
import type { ProbeAnswer } from "../types/ProbeAnswer.js";
import type { Suspicion } from "../types/Suspicion.js";

/** A running coordinator and the database definition that it was started with. */
interface RunningCoordinator {
    readonly definition: DatabaseDefinition;
    readonly coordinator: ReturnType<typeof createGroupCoordinator>;
}

/**
 * Creates the failover service of one gateway.
 *
 * The service runs a coordinator for each database for which this gateway ranks first. It keeps terms reserved for
 * these databases and for those of which this gateway is a standby. Only the group records that coordinators publish
 * determine the primary of a group.
 *
 * @param dependencies Services that it uses.
 * @returns The service, not yet started.
 *
 * @example
 * const failover = createFailoverService({ configuration, membership, dissemination, terms, driver, ...others });
 * failover.reportSuspicion({ database: "stock", endpoint: "stock-1", term: 4, reason: SuspicionReason.Silent });
 */
export function createFailoverService(dependencies: FailoverDependencies): FailoverService {
    const { configuration, membership, dissemination, terms, driver, clock, events } = dependencies;
    const index = createCoordinatorIndex(dependencies);
    const coordinators = new Map<string, RunningCoordinator>();
    const reservations = new Map<string, AbortController>();
    const standbyUntil = new Map<string, number>();
    const pendingStandbys = new Set<string>();
    const stopping = new Set<Promise<void>>();
    const stopped = new AbortController();
    let subscriptions: (() => void)[] = [];
    let wake = (): void => {};
    let hasChanged = true;
    let task: Promise<void> | undefined;

    function recordedTerm(database: string): number {
        return dissemination.get(RecordKind.Group, database)?.stamp ?? 0;
    }

    function requestReconciliation(): void {
        hasChanged = true;
        wake();
    }

    function updateReservation(database: string, isWanted: boolean): void {
        const running = reservations.get(database);
        if (isWanted && running === undefined) {
            const abort = new AbortController();
            reservations.set(database, abort);
            void keepTermsReserved(database, dependencies, {
                highestTerm: () => recordedTerm(database),
                isCoordinator: () => index.ownRank(database) === 0,
                formerCoordinators: () => index.formerCoordinatorsOf(database),
                onReserved: () => coordinators.get(database)?.coordinator.probeNow(),
                signal: abort.signal,
            });
        }
        else if (!isWanted) {
            running?.abort();
            reservations.delete(database);
        }
    }

    function updateCoordinator(database: string, definition: DatabaseDefinition | undefined): void {
        const running = coordinators.get(database);
        if (running !== undefined && !isDeepStrictEqual(running.definition, definition)) {
            coordinators.delete(database);
            const stop = running.coordinator.stop().finally(() => stopping.delete(stop));
            stopping.add(stop);
        }
        if (definition !== undefined && !coordinators.has(database)) {
            const coordinator = createGroupCoordinator(database, definition, dependencies);
            coordinators.set(database, { definition, coordinator });
            const text = `Coordinating ${database}, with ${
                terms.count(database, recordedTerm(database))
            } reserved terms.`;
            events.record({ kind: EventKind.CoordinatorReady, database, term: recordedTerm(database), text });
        }
    }

    function reconcile(): void {
        const { databases } = configuration.current().content;
        const names = new Set([...Object.keys(databases), ...coordinators.keys(), ...reservations.keys()]);
        for (const database of names) {
            const rank = index.ownRank(database);
            const isActive = rank === 0 || (standbyUntil.get(database) ?? -Infinity) > clock.now();
            updateReservation(database, rank >= 0);
            updateCoordinator(database, isActive ? databases[database] : undefined);
        }
    }

    async function runReconciliationLoop(): Promise<void> {
        while (!stopped.signal.aborted) {
            if (!hasChanged) {
                await new Promise<void>(resolve => {
                    wake = resolve;
                });
            }
            hasChanged = false;
            reconcile();
        }
    }

    async function activateStandby(suspicion: Suspicion): Promise<void> {
        const { database } = suspicion;
        if (pendingStandbys.has(database)) {
            return;
        }
        pendingStandbys.add(database);
        const termBefore = recordedTerm(database);
        await clock.sleep(failoverConstants.standbyDelayMilliseconds, stopped.signal);
        if (recordedTerm(database) === termBefore && !stopped.signal.aborted) {
            standbyUntil.set(database, clock.now() + failoverConstants.standbyActiveMilliseconds);
            requestReconciliation();
            await clock.sleep(failoverConstants.standbyActiveMilliseconds, stopped.signal);
            requestReconciliation();
        }
        pendingStandbys.delete(database);
    }

    function handleSuspicion(suspicion: Suspicion): void {
        const running = coordinators.get(suspicion.database);
        if (running !== undefined) {
            running.coordinator.probeNow();
        }
        else if (configuration.current().content.databases[suspicion.database] !== undefined) {
            void activateStandby(suspicion);
        }
    }

    async function probeEndpoint(name: string): Promise<ProbeAnswer> {
        const endpoint = findEndpoint(configuration.current().content, name);
        if (endpoint === undefined) {
            throw createError(
                ErrorKind.NotFound,
                `Endpoint ${name} is not in the configuration in force on this gateway.`,
                {
                    remedy: "Wait until a configuration version with this endpoint is in force on this gateway.",
                },
            );
        }
        return await probeOnce(driver, endpoint);
    }

    async function start(): Promise<void> {
        subscriptions = [
            membership.onChange(() => {
                index.refreshPeers();
                requestReconciliation();
            }),
            configuration.onChange(requestReconciliation),
            dissemination.onRecord(RecordKind.Group, requestReconciliation),
        ];
        task = runReconciliationLoop();
    }

    async function stop(): Promise<void> {
        subscriptions.forEach(unsubscribe => unsubscribe());
        stopped.abort();
        requestReconciliation();
        await task;
        reservations.forEach(abort => abort.abort());
        const stops = [...coordinators.values()].map(({ coordinator }) => coordinator.stop());
        coordinators.clear();
        await Promise.all([...stops, ...stopping]);
    }

    return {
        reportSuspicion: createReportForwarder(dependencies, {
            coordinatorsOf: index.coordinatorsOf,
            handleSuspicion,
        }),
        handleSuspicion,
        probeEndpoint,
        handOver: database => index.ownRank(database) === 0 ? [] : terms.relinquish(database),
        state: () => [...coordinators.values()].map(({ coordinator }) => coordinator.state()),
        start,
        stop,
    };
}
