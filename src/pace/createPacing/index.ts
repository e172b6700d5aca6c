import { createRetryBudget } from "../../admission/createRetryBudget/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import type { PlacementRequest } from "../../placement/types/PlacementRequest.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import { computeStatementShare } from "../computeStatementShare/index.js";
import { paceConstants } from "../constants.js";
import { createFreeSignal } from "../createFreeSignal/index.js";
import { createPacedUse } from "../createPacedUse/index.js";
import { createPaceStates } from "../createPaceStates/index.js";
import { registerPaceGauges } from "../registerPaceGauges/index.js";
import type { PacedEndpoint } from "../types/PacedEndpoint.js";
import type { PacedUse } from "../types/PacedUse.js";
import type { Pacing } from "../types/Pacing.js";
import { StatementEnd } from "../types/StatementEnd.js";

/** Options of `createPacing`. */
interface PacingOptions {
    readonly clock: Clock;
    readonly directory: Directory;
    readonly primaries: Primaries;
    /** Returns the number of VMs that share a group's endpoints. */
    readonly vmCount: (group: string) => number;
    /** Whether the load of a group is controlled; left out means that it is. */
    readonly isControlled?: (group: string) => boolean;
    /** Whether a connection to an endpoint is open and its log is near enough for reads, as far as is known. */
    readonly isAble: (endpointId: string) => boolean;
    /** Called with a group when a limit allows one of its waiting statements. */
    readonly onFree: (group: string) => void;
    readonly metrics: Pick<Metrics, "registerGauge">;
    readonly log: LogTopic;
}

/**
 * Creates the pacing of endpoints: how many statements each gets, and which ones are set aside, by how they answer.
 *
 * Requests for a specific endpoint and those more urgent than any route's are this program's own and pass freely.
 *
 * @param options Clock, directory, known primaries, and listener.
 * @returns The pacing; without evidence it changes nothing.
 *
 * @example
 * for (const endpoint of pacing.listUsable(request, candidates)) { const use = pacing.begin(request, endpoint); }
 */
export function createPacing(options: PacingOptions): Pacing {
    const { clock, directory, primaries, log, isControlled = () => true } = options;
    const probeBudget = createRetryBudget(() => paceConstants.probeShare, paceConstants.maximumProbeBalance);
    const signal = createFreeSignal(clock, options.onFree);
    const states = createPaceStates({
        clock,
        directory,
        primaries,
        share: ({ slots, group }) => computeStatementShare(slots, options.vmCount(group)),
        log,
    });
    let probes = 0;
    registerPaceGauges(options.metrics, states.list, () => probes);

    function isPaced({ group, endpointId, priority }: PlacementRequest): boolean {
        return isControlled(group) && endpointId === undefined && priority >= 0;
    }

    function isSetAside({ id, group }: EndpointRecord): boolean {
        return states.find(id)?.health.isSetAside() === true && primaries.primaryOf(group)?.id !== id;
    }

    function isSilent({ id }: EndpointRecord): boolean {
        const state = states.find(id);
        if (state === undefined || state.unanswered === 0) {
            return false;
        }
        const { silenceMilliseconds, silenceFactor } = paceConstants;
        const bound = Math.max(silenceMilliseconds, silenceFactor * state.pace.averageMilliseconds());
        return clock.now() - state.progressAt > bound;
    }

    function isFree({ id, group }: EndpointRecord): boolean {
        const milliseconds = states.find(id)?.pace.millisecondsUntilFree() ?? 0;
        if (milliseconds > 0) {
            signal.expect(group, milliseconds);
        }
        return milliseconds === 0;
    }

    function listUsable(
        request: PlacementRequest,
        candidates: readonly EndpointRecord[],
    ): readonly EndpointRecord[] {
        if (!isPaced(request)) {
            return candidates;
        }
        return request.needsPrimary ? candidates.filter(isFree) : listForRead(request, candidates);
    }

    function listForRead(request: PlacementRequest, candidates: readonly EndpointRecord[]): readonly EndpointRecord[] {
        const isServed = candidates.some(isSetAside) && hasOthersInService(request);
        const chosen = isServed ? candidates.filter(endpoint => !isSetAside(endpoint)) : candidates;
        const probed = isServed ? candidates.find(isProbeDue) : undefined;
        const free = chosen.filter(isFree);
        const silent = free.filter(isSilent);
        const answering = silent.length === 0 ? free : free.filter(endpoint => !silent.includes(endpoint));
        return [...probed === undefined ? [] : [probed], ...answering, ...silent];
    }

    /** Whether an endpoint that is not set aside can serve reads, now or after a short pause. */
    function hasOthersInService({ group, excluded }: PlacementRequest): boolean {
        return directory.endpointsOf(group).some(endpoint =>
            !endpoint.isLeaving
            && !excluded.has(endpoint.id)
            && !isSetAside(endpoint)
            && options.isAble(endpoint.id)
        );
    }

    function isProbeDue(endpoint: EndpointRecord): boolean {
        const state = states.find(endpoint.id);
        if (state === undefined || !isSetAside(endpoint) || !state.health.isProbeDue()) {
            return false;
        }
        state.hasProbeGrant ||= state.health.isReturning() || probeBudget.tryConsumeRetry(endpoint.group);
        return state.hasProbeGrant;
    }

    function penaltyMilliseconds(endpoint: EndpointRecord): number {
        if (!isControlled(endpoint.group)) {
            return 0;
        }
        return states.find(endpoint.id)?.health.penaltyMilliseconds(states.rateOfOthers(endpoint) ?? 0) ?? 0;
    }

    function begin(request: PlacementRequest, endpoint: EndpointRecord): PacedUse {
        const state = states.get(endpoint);
        if (!isPaced(request)) {
            return {
                isProbe: false,
                observe: (_statements, timeoutMilliseconds, exchange) => exchange(timeoutMilliseconds),
                end: () => {},
            };
        }
        probeBudget.countRequest(endpoint.group);
        // Without others in service, the statement is an ordinary one, but its answer counts as that of a probe.
        let isJudgedAsProbe = isSetAside(endpoint);
        const isProbe = isJudgedAsProbe && state.hasProbeGrant;
        if (isJudgedAsProbe) {
            state.health.beginProbe();
        }
        if (isProbe) {
            state.hasProbeGrant = false;
            probes += 1;
        }
        return createPacedUse({ clock, state, isProbe, onEnd });

        function onEnd(end: StatementEnd, latencyMilliseconds: number): void {
            if (isJudgedAsProbe) {
                isJudgedAsProbe = false;
                states.endProbe(endpoint, end);
            }
            else {
                state.health.record(end);
                states.judge(endpoint);
            }
            logFall(endpoint, state, end, latencyMilliseconds);
            signal.notify(endpoint.group);
        }
    }

    function logFall(
        { id }: EndpointRecord,
        state: PacedEndpoint,
        end: StatementEnd,
        latencyMilliseconds: number,
    ): void {
        const isLogged = clock.now() - state.loggedAt < paceConstants.logIntervalMilliseconds;
        if (isLogged || !state.pace.isLimited() || end !== StatementEnd.Refused && end !== StatementEnd.Silent) {
            return;
        }
        state.loggedAt = clock.now();
        log("pace of an endpoint fell", {
            endpoint: id,
            cause: end,
            limit: state.pace.limit(),
            inUse: state.pace.inUse(),
            latencyMilliseconds: Math.round(latencyMilliseconds),
        });
    }

    return { listUsable, isSetAside, penaltyMilliseconds, begin };
}
