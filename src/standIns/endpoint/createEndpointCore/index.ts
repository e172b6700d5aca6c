import { createSystemClock } from "../../../clock/createSystemClock/index.js";
import { EndpointRole } from "../../../endpoints/types/EndpointRole.js";
import type { EndpointStatus } from "../../../endpoints/types/EndpointStatus.js";
import { createRandomSource } from "../../../random/createRandomSource/index.js";
import { createEndpointLog } from "../createEndpointLog/index.js";
import { createObservableSwitches } from "../createObservableSwitches/index.js";
import { createStatementRunner } from "../createStatementRunner/index.js";
import { createTermState } from "../createTermState/index.js";
import type { EndpointCore } from "../types/EndpointCore.js";
import type { EndpointStandInSettings } from "../types/EndpointStandInSettings.js";

/**
 * Creates the components of an endpoint stand-in that do not depend on connections.
 *
 * @param settings Settings of the endpoint.
 * @returns The components, with an empty log.
 *
 * @example
 * const core = createEndpointCore(settings);
 * core.terms.fence(1);
 */
export function createEndpointCore(settings: EndpointStandInSettings): EndpointCore {
    const clock = createSystemClock();
    const log = createEndpointLog();
    const terms = createTermState(settings.name, log);
    const switches = createObservableSwitches(settings.serviceMilliseconds);
    const counters = {
        connections: 0,
        mostConnections: 0,
        refusedConnections: 0,
        slotsInUse: 0,
        mostSlotsInUse: 0,
        statements: 0,
        newWorkWhileLeaving: 0,
        lastNewWorkAfterLeavingMilliseconds: 0,
    };
    const random = createRandomSource(settings.randomSeed);
    const { slots, serviceJitterShare } = settings;
    const runner = createStatementRunner({
        log,
        terms,
        switches,
        counters,
        clock,
        random,
        slots,
        serviceJitterShare,
    });
    let lastPrimaryContactAt = clock.now();
    let leavingSince: number | undefined;
    let lastFollowTarget = terms.followTarget();

    terms.onChange(() => {
        if (terms.followTarget() !== lastFollowTarget) {
            lastFollowTarget = terms.followTarget();
            lastPrimaryContactAt = clock.now();
        }
    });
    switches.onChange(() => {
        leavingSince = switches.state.isLeaving ? leavingSince ?? clock.now() : undefined;
    });

    function readStatus(): EndpointStatus {
        const role = terms.role();
        return {
            endpoint: settings.name,
            database: settings.database,
            role,
            term: terms.term(),
            fencedTerm: terms.fencedTerm(),
            position: log.position(),
            lastEntryTerm: log.lastEntryTerm(),
            isLeaving: switches.state.isLeaving,
            primarySilenceMilliseconds: role === EndpointRole.Replica ? clock.now() - lastPrimaryContactAt : undefined,
        };
    }

    function countNewWork(): void {
        if (leavingSince !== undefined) {
            counters.newWorkWhileLeaving += 1;
            counters.lastNewWorkAfterLeavingMilliseconds = clock.now() - leavingSince;
        }
    }

    return {
        settings,
        clock,
        log,
        terms,
        switches,
        counters,
        runner,
        readStatus,
        recordPrimaryContact: () => {
            lastPrimaryContactAt = clock.now();
        },
        countNewWork,
    };
}
