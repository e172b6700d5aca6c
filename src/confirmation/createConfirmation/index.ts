import type { Clock } from "../../clock/types/Clock.js";
import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import type { EndpointDefinition } from "../../configuration/types/EndpointDefinition.js";
import type { EndpointDriver } from "../../endpoints/types/EndpointDriver.js";
import type { EndpointStatus } from "../../endpoints/types/EndpointStatus.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { MembershipService } from "../../membership/types/MembershipService.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import type { TopologyService } from "../../topology/types/TopologyService.js";
import { createWaiter } from "../../waiting/createWaiter/index.js";
import type { Waiter } from "../../waiting/types/Waiter.js";
import { confirmationConstants } from "../constants.js";
import { createGroupWatch } from "../createGroupWatch/index.js";
import { isConfirmed } from "../isConfirmed/index.js";
import { isSuperseded } from "../isSuperseded/index.js";
import { listHolders } from "../listHolders/index.js";
import type { Confirmation } from "../types/Confirmation.js";
import { ConfirmationOutcome } from "../types/ConfirmationOutcome.js";
import type { ConfirmationResult } from "../types/ConfirmationResult.js";
import type { GroupWatch } from "../types/GroupWatch.js";

/** Options of `createConfirmation`. */
interface ConfirmationOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly configuration: ConfigurationService;
    readonly topology: TopologyService;
    readonly membership: MembershipService;
    readonly driver: EndpointDriver;
}

/** A position whose confirmation is awaited. */
interface PendingPosition {
    readonly term: number;
    readonly position: number;
    readonly waiter: Waiter<ConfirmationResult>;
}

/** One watched group and its awaited positions. */
interface WatchedGroup {
    readonly watch: GroupWatch;
    /** The endpoint definitions that the watch was created with, as JSON text. */
    readonly fingerprint: string;
    readonly pending: Set<PendingPosition>;
    usedAt: number;
}

const timedOut: ConfirmationResult = { outcome: ConfirmationOutcome.TimedOut };

/**
 * Creates the confirmation service of one gateway.
 *
 * The service watches the endpoints of each group whose primary this gateway owns, and of other groups on demand.
 *
 * @param options Clock, random source, sources of groups and their owners, and the driver.
 * @returns The service.
 *
 * @example
 * const { outcome } = await confirmation.waitUntilConfirmed("stock", answer.term, answer.position, 500);
 */
export function createConfirmation(options: ConfirmationOptions): Confirmation {
    const { clock, random, configuration, topology, membership, driver } = options;
    const groups = new Map<string, WatchedGroup>();
    const end = new AbortController();
    const subscriptions: (() => void)[] = [];
    let upkeep: Promise<void> | undefined;

    function waitUntilConfirmed(
        database: string,
        term: number,
        position: number,
        timeoutMilliseconds: number,
    ): Promise<ConfirmationResult> {
        const group = watchGroup(database);
        const record = topology.groupOf(database);
        // An entry of an earlier term counts only once the marker of this term is confirmed.
        const leastPosition = record?.term === term ? Math.max(position, record.markerPosition) : position;
        const decided = group === undefined ? undefined : decide(database, group, { term, position: leastPosition });
        if (group === undefined || decided !== undefined) {
            return Promise.resolve(decided ?? timedOut);
        }
        const pending: PendingPosition = {
            term,
            position: leastPosition,
            waiter: createWaiter({
                clock,
                timeoutMilliseconds,
                createTimeoutError: () => new Error("The position was not confirmed in time."),
                onTimeout: () => group.pending.delete(pending),
            }),
        };
        group.pending.add(pending);
        return pending.waiter.promise.catch(() => timedOut);
    }

    function decide(
        database: string,
        group: WatchedGroup,
        awaited: { readonly term: number; readonly position: number; },
    ): ConfirmationResult | undefined {
        const { endpointCount } = group.watch;
        const statuses = group.watch.statuses();
        const knownTerm = topology.groupOf(database)?.term ?? 0;
        if (knownTerm > awaited.term || isSuperseded(statuses, awaited.term, endpointCount)) {
            return { outcome: ConfirmationOutcome.Superseded };
        }
        return isConfirmed(statuses, { ...awaited, endpointCount })
            ? { outcome: ConfirmationOutcome.Confirmed, confirmedBy: listHolders(statuses, awaited)[0] }
            : undefined;
    }

    function resolveDecided(database: string): void {
        const group = groups.get(database);
        for (const pending of group?.pending ?? []) {
            const outcome = decide(database, group!, pending);
            if (outcome !== undefined) {
                group!.pending.delete(pending);
                pending.waiter.resolve(outcome);
            }
        }
    }

    function endpointsOf(database: string): EndpointDefinition[] {
        const { databases } = configuration.current().content;
        const endpoints = Object.hasOwn(databases, database) ? databases[database]!.endpoints : {};
        return Object.entries(endpoints).map(([name, definition]) => ({ name, ...definition }));
    }

    function watchGroup(database: string): WatchedGroup | undefined {
        const existing = groups.get(database);
        if (existing !== undefined) {
            existing.usedAt = clock.now();
            return existing;
        }
        const endpoints = endpointsOf(database);
        if (endpoints.length === 0 || end.signal.aborted) {
            return undefined;
        }
        const watch = createGroupWatch(database, endpoints, {
            clock,
            random,
            driver,
            onStatus: () => resolveDecided(database),
        });
        const group = {
            watch,
            fingerprint: JSON.stringify(endpoints),
            pending: new Set<PendingPosition>(),
            usedAt: clock.now(),
        };
        groups.set(database, group);
        return group;
    }

    async function readStatus(database: string, endpoint: string): Promise<EndpointStatus> {
        const group = watchGroup(database);
        if (group === undefined) {
            throw createError(ErrorKind.NotFound, `Database ${database} has no endpoints.`, {
                remedy: "Read the configuration in force again.",
            });
        }
        return await group.watch.readStatus(endpoint);
    }

    function unwatchGroup(database: string): Promise<void> {
        const group = groups.get(database);
        groups.delete(database);
        for (const pending of group?.pending ?? []) {
            pending.waiter.resolve(timedOut);
        }
        return group?.watch.stop() ?? Promise.resolve();
    }

    function ownsPrimary(database: string): boolean {
        const primary = topology.groupOf(database)?.primary;
        return primary !== undefined && topology.ownersOf(primary)[0]?.name === membership.self.name;
    }

    function applyTopologyChange(database: string): void {
        if (ownsPrimary(database)) {
            watchGroup(database);
        }
        resolveDecided(database);
    }

    async function applyConfiguration(): Promise<void> {
        for (const [database, group] of groups) {
            if (JSON.stringify(endpointsOf(database)) !== group.fingerprint) {
                await unwatchGroup(database);
            }
        }
    }

    async function runUpkeepLoop(): Promise<void> {
        while (!end.signal.aborted) {
            await clock.sleep(confirmationConstants.upkeepIntervalMilliseconds, end.signal);
            const unusedSince = clock.now() - confirmationConstants.unusedTimeoutMilliseconds;
            for (const [database, group] of groups) {
                if (group.usedAt < unusedSince && group.pending.size === 0 && !ownsPrimary(database)) {
                    await unwatchGroup(database);
                }
            }
        }
    }

    async function start(): Promise<void> {
        subscriptions.push(
            topology.onChange(applyTopologyChange),
            configuration.onChange(() => void applyConfiguration()),
        );
        upkeep = runUpkeepLoop();
    }

    async function stop(): Promise<void> {
        subscriptions.forEach(unsubscribe => unsubscribe());
        end.abort();
        await upkeep;
        await Promise.all([...groups.keys()].map(unwatchGroup));
    }

    return {
        waitUntilConfirmed,
        readStatus,
        statusesOf: database => groups.get(database)?.watch.statuses() ?? [],
        start,
        stop,
    };
}
