import { createRetryBudget } from "../../admission/createRetryBudget/index.js";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import type { SystemConfiguration } from "../../configuration/types/SystemConfiguration.js";
import { createRequestExecution } from "../../execution/createRequestExecution/index.js";
import type { ExecutionContext } from "../../execution/types/ExecutionContext.js";
import type { GatewayClient } from "../../execution/types/GatewayClient.js";
import { createFreshness } from "../../freshness/createFreshness/index.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { PeerState } from "../../membership/types/PeerState.js";
import type { EndpointReply } from "../../messages/types/EndpointReply.js";
import type { EndpointRequest } from "../../messages/types/EndpointRequest.js";
import { OutcomeKind } from "../../messages/types/OutcomeKind.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createEndpointObservations } from "../../routing/createEndpointObservations/index.js";
import { ReadPolicy } from "../../routing/types/ReadPolicy.js";
import { createGroupTable } from "../../topology/createGroupTable/index.js";

const endpoint = { host: "127.0.0.1", port: 1, slots: 3, connectionLimit: 20, region: "north" };
const content: SystemConfiguration = {
    databases: {
        stock: {
            initialPrimary: "stock-1",
            endpoints: {
                "stock-1": { ...endpoint, availabilityZone: "zone-1" },
                "stock-2": { ...endpoint, availabilityZone: "zone-2" },
                "stock-3": { ...endpoint, availabilityZone: "zone-3" },
            },
        },
    },
    callers: {},
    limits: {
        requestBytes: 1_000_000,
        defaultDeadlineMilliseconds: 1_000,
        replicaWaitMilliseconds: 20,
        queueLengthPerEndpoint: 10,
        retryBudgetShare: 0.1,
        ownerConnectionShare: 0.7,
        regionLinkBytesPerSecond: 1_000_000,
    },
    tokenSecret: "secret",
};

const owner: PeerRecord = {
    name: "gateway-1",
    host: "127.0.0.1",
    port: 2,
    availabilityZone: "zone-1",
    region: "north",
    state: PeerState.Live,
    incarnation: 0,
};

/** Answers one request to an endpoint; the number counts requests from 1. */
type Responder = (request: EndpointRequest, count: number) => EndpointReply | Promise<EndpointReply>;

/**
 * Creates an entry's request execution for tests, with a function in place of the gateways.
 *
 * @param respond Answers each request to an endpoint.
 * @param readPosition Returns the position for each query of the current one; 0 if omitted.
 * @returns The execution, the group table and the requests that were sent.
 *
 * @example
 * const { execution, groups, sent } = createExecution(request => answer(request, 5));
 */
export function createExecution(respond: Responder, readPosition: () => number = () => 0) {
    const clock = createSystemClock();
    const groups = createGroupTable();
    const sent: EndpointRequest[] = [];
    const gateways: Pick<GatewayClient, "execute"> = {
        execute: async (_gateway, request) => {
            sent.push(request);
            return respond(request, sent.length);
        },
    };
    const context: ExecutionContext = {
        topology: { ...groups, ownersOf: () => [owner], isLeaving: () => false },
        configuration: {
            current: () => ({ version: 1, content }),
            onChange: () => () => {},
            start: async () => {},
            stop: async () => {},
        },
        gateways: gateways as GatewayClient,
        observations: createEndpointObservations(clock),
        freshness: createFreshness(clock, async () => ({
            outcome: OutcomeKind.Answer,
            term: 1,
            position: readPosition(),
            queueLength: 0,
        })),
        retryBudget: createRetryBudget(() => content.limits.retryBudgetShare),
        clock,
        random: createRandomSource(1),
        readPolicy: ReadPolicy.BoundedWaitWithPrediction,
        localZone: "zone-2",
        localRegion: "north",
    };
    groups.applyGroupRecord({ database: "stock", term: 1, primary: "stock-1", markerPosition: 1 });
    return { execution: createRequestExecution(context), context, groups, sent };
}
