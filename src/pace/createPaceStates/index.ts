import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import { paceConstants } from "../constants.js";
import { createEndpointHealth } from "../createEndpointHealth/index.js";
import { createEndpointPace } from "../createEndpointPace/index.js";
import type { PacedEndpoint } from "../types/PacedEndpoint.js";
import type { PaceStates } from "../types/PaceStates.js";
import type { StatementEnd } from "../types/StatementEnd.js";

/** Options of `createPaceStates`. */
interface PaceStatesOptions {
    readonly clock: Clock;
    readonly directory: Directory;
    readonly primaries: Primaries;
    /** Returns the share of an endpoint's slots that falls to this VM, in statements. */
    readonly share: (endpoint: EndpointRecord) => number;
    readonly log: LogTopic;
}

/**
 * Creates the states of all endpoints, which begin anew with an endpoint's start, its return and a change of primary.
 *
 * Never more than a share of a group's endpoints is set aside, and never its primary.
 *
 * @param options Clock, directory, known primaries, and share of the slots.
 * @returns The states, none yet.
 *
 * @example
 * states.get(endpoint).pace.begin();
 */
export function createPaceStates(options: PaceStatesOptions): PaceStates {
    const { clock, directory, primaries, log } = options;
    const states = new Map<string, PacedEndpoint>();
    const primaryIds = new Map<string, string>();

    directory.onChange(groups => {
        groups.forEach(group => directory.endpointsOf(group).forEach(update));
        markRemoved();
    });
    primaries.onChange(updatePrimary);

    function get(endpoint: EndpointRecord): PacedEndpoint {
        let state = states.get(endpoint.id);
        if (state === undefined) {
            state = {
                pace: createEndpointPace(clock, () => options.share(directory.endpoint(endpoint.id) ?? endpoint)),
                health: createEndpointHealth(clock),
                startedAt: endpoint.startedAt,
                removedAt: undefined,
                unanswered: 0,
                progressAt: clock.now(),
                hasProbeGrant: false,
                loggedAt: -Infinity,
            };
            states.set(endpoint.id, state);
            updatePrimary(endpoint.group);
        }
        return state;
    }

    function update(endpoint: EndpointRecord): void {
        const state = states.get(endpoint.id);
        if (state === undefined || state.startedAt === endpoint.startedAt && state.removedAt === undefined) {
            return;
        }
        state.startedAt = endpoint.startedAt;
        state.removedAt = undefined;
        state.health.restart();
        state.pace.restart();
    }

    function markRemoved(): void {
        const now = clock.now();
        for (const [id, state] of states) {
            if (directory.endpoint(id) !== undefined) {
                continue;
            }
            state.removedAt ??= now;
            if (now - state.removedAt >= paceConstants.removedMilliseconds) {
                states.delete(id);
            }
        }
    }

    /** A new primary begins low; the first known one of a group is not new. */
    function updatePrimary(group: string): void {
        const primary = primaries.primaryOf(group);
        if (primary === undefined) {
            return;
        }
        const formerId = primaryIds.get(group);
        primaryIds.set(group, primary.id);
        if (formerId !== undefined && formerId !== primary.id) {
            const { health, pace } = get(primary);
            health.returnToService();
            pace.restart();
        }
    }

    function listOthersInService({ id, group }: EndpointRecord): readonly PacedEndpoint[] {
        return directory.endpointsOf(group)
            .filter(endpoint => endpoint.id !== id && !endpoint.isLeaving)
            .map(endpoint => states.get(endpoint.id))
            .filter(state => state !== undefined && !state.health.isSetAside()) as PacedEndpoint[];
    }

    function rateOfOthers(endpoint: EndpointRecord): number | undefined {
        const rates = listOthersInService(endpoint)
            .map(({ health }) => health.failureRate())
            .filter(rate => rate !== undefined);
        return rates.length === 0 ? undefined : Math.min(...rates);
    }

    function judge(endpoint: EndpointRecord): void {
        const members = directory.endpointsOf(endpoint.group).filter(({ isLeaving }) => !isLeaving);
        const setAside = members.filter(({ id }) => states.get(id)?.health.isSetAside() === true);
        setAside.filter(failsNoMoreThanOthers).forEach(returnToService);
        const allowed = Math.floor(members.length * paceConstants.maximumSetAsideShare);
        const isPrimary = primaries.primaryOf(endpoint.group)?.id === endpoint.id;
        const health = get(endpoint).health;
        if (setAside.length < allowed && !isPrimary && health.trySetAside(rateOfOthers(endpoint) ?? 0)) {
            log("endpoint is set aside", {
                endpoint: endpoint.id,
                failureRate: health.rateWhenSetAside(),
                holdMilliseconds: health.holdMilliseconds(),
            });
        }
    }

    /** Whether the others in service turned out to fail as much: the cause then lies with the statements. */
    function failsNoMoreThanOthers(endpoint: EndpointRecord): boolean {
        const rate = get(endpoint).health.rateWhenSetAside();
        return rate - (rateOfOthers(endpoint) ?? 0) < paceConstants.setAsideExcessOnTrial;
    }

    function returnToService(endpoint: EndpointRecord): void {
        const { health, pace } = get(endpoint);
        health.returnToService();
        pace.restart();
        logReturn(endpoint);
    }

    function endProbe(endpoint: EndpointRecord, end: StatementEnd): void {
        const { health, pace } = get(endpoint);
        if (health.endProbe(end)) {
            pace.restart();
            logReturn(endpoint);
        }
    }

    function logReturn(endpoint: EndpointRecord): void {
        log("endpoint is back in service", { endpoint: endpoint.id });
    }

    return {
        get,
        find: endpointId => states.get(endpointId),
        list: () => [...states.values()].filter(({ removedAt }) => removedAt === undefined),
        rateOfOthers,
        judge,
        endProbe,
    };
}
