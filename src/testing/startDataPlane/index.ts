import { createAdmission } from "../../admission/createAdmission/index.js";
import { createRetryBudget } from "../../admission/createRetryBudget/index.js";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import { createConfirmation } from "../../confirmation/createConfirmation/index.js";
import { createEndpointConnections } from "../../connections/createEndpointConnections/index.js";
import { createEndpointDriver } from "../../endpoints/createEndpointDriver/index.js";
import { createEventRecorder } from "../../events/createEventRecorder/index.js";
import { createLogger } from "../../logging/createLogger/index.js";
import type { PeerRecord } from "../../membership/types/PeerRecord.js";
import { PeerState } from "../../membership/types/PeerState.js";
import { createUnemulatedNetwork } from "../../network/createUnemulatedNetwork/index.js";
import { createRandomSource } from "../../random/createRandomSource/index.js";
import { createEndpointRequests } from "../../requests/createEndpointRequests/index.js";
import { startEndpointGroup } from "../../standIns/endpoint/startEndpointGroup/index.js";
import type { EndpointStandInSettings } from "../../standIns/endpoint/types/EndpointStandInSettings.js";
import { createTransactions } from "../../transactions/createTransactions/index.js";
import { createFixedMembership } from "../createFixedMembership/index.js";
import { createFixedTopology } from "../createFixedTopology/index.js";

/** Options of `startDataPlane`. */
interface DataPlaneOptions {
    readonly endpoints?: Partial<EndpointStandInSettings>;
    readonly queueLength?: number;
    /** False admits every request immediately. */
    readonly isLimiting?: boolean;
    readonly confirmsPrimaryReads?: boolean;
}

const timeoutMilliseconds = 2_000;
const self: PeerRecord = {
    name: "gateway-1",
    host: "127.0.0.1",
    port: 1,
    availabilityZone: "a",
    region: "a",
    state: PeerState.Live,
    incarnation: 1,
};

/**
 * Starts one gateway's data plane with a group of three endpoint stand-ins, all in this process.
 *
 * The group serves term 1, with stock-1 as the primary and its marker written.
 *
 * @param options Settings of the endpoints and of the gateway that differ from the defaults.
 * @returns The services, the group and a function that changes its primary.
 *
 * @example
 * const plane = await startDataPlane({ endpoints: { serviceMilliseconds: 5 } });
 */
export async function startDataPlane(options: DataPlaneOptions = {}) {
    const group = await startEndpointGroup(options.endpoints);
    const clock = createSystemClock();
    const topology = createFixedTopology([self]);
    const membership = createFixedMembership(self, [self]);
    const slots = options.endpoints?.slots ?? 3;
    const connectionLimit = options.endpoints?.connectionLimit ?? 20;
    const names = Object.keys(group.endpoints);
    const endpoints = Object.fromEntries(
        names.map(name => [name, { ...group.addressOf(name), region: "a", slots, connectionLimit }]),
    );
    const current = {
        version: 1,
        content: {
            databases: { stock: { endpoints, initialPrimary: "stock-1" } },
            callers: {},
            limits: {
                requestBytes: 65_536,
                defaultDeadlineMilliseconds: 1_000,
                replicaWaitMilliseconds: 100,
                queueLengthPerEndpoint: options.queueLength ?? 100,
                retryBudgetShare: 0.1,
                ownerConnectionShare: 0.7,
                regionLinkBytesPerSecond: 2_500_000,
            },
            tokenSecret: "secret",
        },
    };
    const configuration: ConfigurationService = {
        current: () => current,
        onChange: () => () => {},
        start: async () => {},
        stop: async () => {},
    };
    const driver = createEndpointDriver(createUnemulatedNetwork("a"));
    const random = createRandomSource(1);
    const shared = { clock, random, configuration, topology, membership, driver };
    const connections = createEndpointConnections(shared);
    const confirmation = createConfirmation(shared);
    const services = {
        ...shared,
        connections,
        confirmation,
        admission: createAdmission({ ...shared, isLimiting: options.isLimiting }),
        retryBudget: createRetryBudget(() => current.content.limits.retryBudgetShare),
        confirmsPrimaryReads: options.confirmsPrimaryReads ?? true,
        logger: createLogger("gateway-1", clock),
        events: createEventRecorder("gateway-1", clock),
    };
    const requests = createEndpointRequests(services);
    const transactions = createTransactions(services);

    /** Promotes an endpoint as a failover does; the test then has to apply the new group record to the topology. */
    async function promote(term: number, primary: string, fenced: readonly string[] = names): Promise<number> {
        for (const name of new Set([primary, ...fenced])) {
            await group.connections[name]!.fence(term, timeoutMilliseconds);
        }
        await group.connections[primary]!.promote(term, timeoutMilliseconds);
        for (const name of fenced.filter(fencedName => fencedName !== primary)) {
            await group.connections[name]!.follow(term, primary, timeoutMilliseconds);
        }
        return (await group.connections[primary]!.writeMarker(term, timeoutMilliseconds)).position;
    }

    async function stop(): Promise<void> {
        await transactions.stop();
        await requests.stop();
        await confirmation.stop();
        await connections.stop();
        await group.stop();
    }

    const markerPosition = await promote(1, "stock-1");
    await connections.start();
    await confirmation.start();
    topology.applyGroupRecord({ database: "stock", term: 1, primary: "stock-1", markerPosition });
    return { ...services, group, topology, requests, transactions, promote, stop };
}
