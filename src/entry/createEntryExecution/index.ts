import { createAdaptiveLimit } from "../../admission/createAdaptiveLimit/index.js";
import { createLinkBudget } from "../../admission/createLinkBudget/index.js";
import { createRetryBudget } from "../../admission/createRetryBudget/index.js";
import type { LinkBudget } from "../../admission/types/LinkBudget.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import { createGatewayClient } from "../../execution/createGatewayClient/index.js";
import { createLimitedGatewayClient } from "../../execution/createLimitedGatewayClient/index.js";
import { createRequestExecution } from "../../execution/createRequestExecution/index.js";
import { sendToOwner } from "../../execution/sendToOwner/index.js";
import type { ExecutionContext } from "../../execution/types/ExecutionContext.js";
import type { RequestExecutionService } from "../../execution/types/RequestExecutionService.js";
import { createFreshness } from "../../freshness/createFreshness/index.js";
import { createNotRun } from "../../messages/createNotRun/index.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import { NotRunReason } from "../../messages/types/NotRunReason.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { createEndpointObservations } from "../../routing/createEndpointObservations/index.js";
import type { EntrySettings } from "../../settings/types/EntrySettings.js";
import type { EntryTopology } from "../../topology/types/EntryTopology.js";
import type { Peers } from "../../transport/types/Peers.js";

/** Options of `createEntryExecution`. */
interface EntryExecutionOptions {
    readonly settings: EntrySettings;
    readonly topology: EntryTopology;
    readonly configuration: ConfigurationService;
    readonly peers: Peers;
    readonly clock: Clock;
    readonly random: RandomSource;
}

/**
 * Creates the request execution of an entry, with its observations of endpoints and its freshness evidence.
 *
 * @param options The entry's settings and the services used.
 * @returns The service that runs callers' requests.
 *
 * @example
 * const execution = createEntryExecution({ settings, topology, configuration, peers, clock, random });
 */
export function createEntryExecution(options: EntryExecutionOptions): RequestExecutionService {
    const { settings, topology, configuration, peers, clock, random } = options;
    const context: ExecutionContext = {
        topology,
        configuration,
        gateways: createLimitedGatewayClient(createGatewayClient(peers), {
            localRegion: settings.region,
            createLimit: () => createAdaptiveLimit(clock),
            createBudget,
        }),
        retryBudget: createRetryBudget(() => configuration.current().content.limits.retryBudgetShare),
        observations: createEndpointObservations(clock),
        freshness: createFreshness(clock, readPosition),
        clock,
        random,
        readPolicy: settings.readPolicy,
        localZone: settings.availabilityZone,
        localRegion: settings.region,
    };

    /** Gives each entry of the region an equal share of the link's bytes, assuming as many entries as gateways. */
    function createBudget(region: string): LinkBudget {
        return createLinkBudget({
            clock,
            link: `${settings.region} to ${region}`,
            bytesPerSecond: () =>
                configuration.current().content.limits.regionLinkBytesPerSecond
                / Math.max(1, topology.countGateways(settings.region)),
        });
    }

    async function readPosition(database: string, timeLeftMilliseconds: number): Promise<EndpointReply> {
        const group = topology.groupOf(database);
        if (group === undefined) {
            return createNotRun(NotRunReason.NoPrimary, `No primary of ${database} is known. Retry in a moment.`);
        }
        return sendToOwner(
            context,
            group.primary,
            gateway => context.gateways.readPosition(gateway, { database, term: group.term, timeLeftMilliseconds }),
        );
    }

    return createRequestExecution(context);
}
