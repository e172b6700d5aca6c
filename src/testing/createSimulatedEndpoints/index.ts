import type { Clock } from "../../clock/types/Clock.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { OutgoingStatement } from "../../statements/types/OutgoingStatement.js";
import type { StatementAnswer } from "../../statements/types/StatementAnswer.js";
import { replicateLogs } from "../replicateLogs/index.js";
import { runAtEndpoint } from "../runAtEndpoint/index.js";
import type { HistoryEvent } from "../types/HistoryEvent.js";
import { HistoryEventKind } from "../types/HistoryEventKind.js";
import type { SimulatedEndpoint } from "../types/SimulatedEndpoint.js";
import type { SimulatedEndpoints } from "../types/SimulatedEndpoints.js";
import type { SimulatedNetwork } from "../types/SimulatedNetwork.js";
import type { SimulatedStore } from "../types/SimulatedStore.js";

/** Options of `createSimulatedEndpoints`. */
interface SimulatedEndpointsOptions {
    readonly clock: Clock;
    readonly network: SimulatedNetwork;
    readonly store: SimulatedStore;
    readonly groups: readonly string[];
    /** Availability zones of the endpoints of a group. */
    readonly zones: readonly string[];
    readonly history: HistoryEvent[];
    /** Number of endpoints of each group that do not run at the start. */
    readonly sparesPerGroup: number;
}

const endpointsPerGroup = 3;
const tickMilliseconds = 10;
const reportMilliseconds = 1_000;
const silenceMilliseconds = 3_000;

/**
 * Creates the endpoints of a simulation: one primary and its replicas per group, which register in the store.
 *
 * @param options Clock, network, store, groups and history.
 * @returns The endpoints, started.
 *
 * @example
 * endpoints.crash("orders-1");
 */
export function createSimulatedEndpoints(options: SimulatedEndpointsOptions): SimulatedEndpoints {
    const { clock, network, store, groups, zones, history, sparesPerGroup } = options;
    const endpointsByGroup = new Map(groups.map(group => [group, createGroup(group)]));
    const endpoints = new Map([...endpointsByGroup.values()].flat().map(endpoint => [endpoint.id, endpoint]));
    const leaders = new Map<string, { readonly id: string; readonly term: number; }>();
    groups.forEach(group => lead(endpointsByGroup.get(group)![0]!));
    tick();

    function createGroup(group: string): readonly SimulatedEndpoint[] {
        return Array.from({ length: endpointsPerGroup + sparesPerGroup }, (_value, index) => ({
            id: `${group}-${index + 1}`,
            group,
            availabilityZone: zones[index % zones.length]!,
            isRunning: index < endpointsPerGroup,
            startedAt: 1,
            isPrimary: false,
            isLeaving: false,
            term: 1,
            position: { term: 1, entry: 0 },
            heldTerm: 0,
            reportedAt: 0,
            reportNumber: 0,
        }));
    }

    function get(id: string): SimulatedEndpoint {
        return endpoints.get(id)!;
    }

    function lead(endpoint: SimulatedEndpoint): void {
        const { id, group } = endpoint;
        const term = (leaders.get(group)?.term ?? 0) + 1;
        leaders.set(group, { id, term });
        Object.assign(endpoint, { term, isPrimary: true, heldTerm: 0, reachesSuccessorSince: undefined });
        const { position } = endpoint;
        history.push({ kind: HistoryEventKind.Promotion, at: clock.now(), group, endpointId: id, term, position });
    }

    /** Whether the endpoint leads and has not stepped down. */
    function isPresentPrimary(id: string): boolean {
        const { group, isPrimary } = get(id);
        return isPrimary && leaders.get(group)!.id === id;
    }

    function tick(): void {
        endpointsByGroup.forEach(members => replicateLogs(members, network, clock.now()));
        endpoints.forEach(register);
        clock.startTimer(tickMilliseconds, tick);
    }

    /** Reports changes to the store at once, and otherwise now and then that the endpoint is alive. */
    function register(endpoint: SimulatedEndpoint): void {
        const now = clock.now();
        const isReporting = endpoint.isRunning && store.isAvailable && network.isConnected(endpoint.id, "store");
        const state = describeState(endpoint);
        if (isReporting && (state !== endpoint.reported || now - endpoint.reportedAt >= reportMilliseconds)) {
            endpoint.reportNumber = endpoint.reportedStart === endpoint.startedAt ? endpoint.reportNumber + 1 : 1;
            Object.assign(endpoint, { reportedAt: now, reported: state, reportedStart: endpoint.startedAt });
            report(endpoint);
        }
        else if (store.isAvailable && now - endpoint.reportedAt > silenceMilliseconds) {
            endpoint.reported = undefined;
            store.removeEndpoint(endpoint.id);
        }
    }

    /** Writes the record, unless nothing but the number of the report has changed. */
    function report(endpoint: SimulatedEndpoint): void {
        const { id, group, availabilityZone, isPrimary, isLeaving, startedAt, reportNumber } = endpoint;
        const known = store.findEndpoint(id);
        if (known === undefined || describeState(known) !== describeState(endpoint)) {
            store.putEndpoint({
                id,
                group,
                address: { host: id, port: 1, availabilityZone },
                slots: 8,
                isLeaving,
                isPrimary,
                warmingMilliseconds: 0,
                startedAt,
                reportNumber,
            });
        }
    }

    function describeState(
        { isPrimary, isLeaving, startedAt }: Pick<EndpointRecord, "isPrimary" | "isLeaving" | "startedAt">,
    ): string {
        return JSON.stringify({ isPrimary, isLeaving, startedAt });
    }

    function run(id: string, statements: readonly OutgoingStatement[]): readonly StatementAnswer[] {
        const endpoint = get(id);
        const describeEffect = () => ({
            at: clock.now(),
            group: endpoint.group,
            endpointId: id,
            position: endpoint.position,
        });
        return runAtEndpoint(endpoint, statements, {
            commit: writeId => {
                endpoint.position = { term: endpoint.term, entry: endpoint.position.entry + 1 };
                history.push({ kind: HistoryEventKind.Commit, writeId, ...describeEffect() });
            },
            read: readId => history.push({ kind: HistoryEventKind.Read, readId, ...describeEffect() }),
        });
    }

    return {
        ids: [...endpoints.keys()],
        get,
        leaderOf: group => leaders.get(group)!.id,
        isPresentPrimary,
        run,
        promote: id => {
            const endpoint = get(id);
            if (endpoint.isRunning && !isPresentPrimary(id)) {
                lead(endpoint);
            }
        },
        crash: id => {
            get(id).isRunning = false;
        },
        reset: id => {
            Object.assign(get(id), { isPrimary: false, term: 1, position: { term: 1, entry: 0 } });
        },
        recover: id => {
            const endpoint = get(id);
            if (!endpoint.isRunning) {
                const isPrimary = isPresentPrimary(id);
                const startedAt = Math.floor(clock.now()) + 1;
                Object.assign(endpoint, { isRunning: true, isPrimary, heldTerm: 0, startedAt });
            }
        },
    };
}
