import type { Clock } from "../../clock/types/Clock.js";
import { findDatabaseEndpoint } from "../../configuration/findDatabaseEndpoint/index.js";
import type { ConfigurationService } from "../../configuration/types/ConfigurationService.js";
import type { EndpointDefinition } from "../../configuration/types/EndpointDefinition.js";
import type { EndpointDriver } from "../../endpoints/types/EndpointDriver.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { MembershipService } from "../../membership/types/MembershipService.js";
import type { TopologyService } from "../../topology/types/TopologyService.js";
import { connectionConstants } from "../constants.js";
import { createEndpointPool } from "../createEndpointPool/index.js";
import type { AcquiredConnection } from "../types/AcquiredConnection.js";
import type { ConnectionFailure } from "../types/ConnectionFailure.js";
import type { EndpointConnections } from "../types/EndpointConnections.js";
import type { EndpointPool } from "../types/EndpointPool.js";

/** Options of `createEndpointConnections`. */
interface EndpointConnectionsOptions {
    readonly clock: Clock;
    readonly configuration: ConfigurationService;
    readonly topology: TopologyService;
    readonly membership: MembershipService;
    readonly driver: EndpointDriver;
}

/** A pool with the database and address it was created for. */
interface OpenPool {
    readonly database: string;
    readonly pool: EndpointPool;
    /** Host and port; a pool is replaced when they change. */
    readonly address: string;
}

/**
 * Creates the connections of one gateway to endpoints.
 *
 * The first owner of an endpoint opens at most its configured share of the connection limit, any other gateway a
 * small share of the remainder. Connections are opened on demand; an owner keeps a few open.
 *
 * @param options Services that provide limits and owners, and the driver that opens connections.
 * @returns The service.
 *
 * @example
 * const acquired = await connections.acquire("stock", "stock-1", 200);
 * try { await acquired.connection.execute(call); acquired.release(); }
 * catch (error) { acquired.discard(error); }
 */
export function createEndpointConnections(options: EndpointConnectionsOptions): EndpointConnections {
    const { clock, configuration, topology, membership, driver } = options;
    const pools = new Map<string, OpenPool>();
    const listeners = new Set<(failure: ConnectionFailure) => void>();
    const end = new AbortController();
    const subscriptions: (() => void)[] = [];
    let adjustmentLoop: Promise<void> | undefined;

    function isOwner(endpoint: string): boolean {
        return topology.ownersOf(endpoint)[0]?.name === membership.self.name;
    }

    function limitOf(database: string, endpoint: string): number {
        const definition = findDatabaseEndpoint(configuration.current().content, database, endpoint);
        if (definition === undefined) {
            return 0;
        }
        const share = configuration.current().content.limits.ownerConnectionShare;
        const ownerLimit = Math.max(Math.floor(definition.connectionLimit * share), 1);
        const remainder = definition.connectionLimit - ownerLimit;
        return isOwner(endpoint)
            ? ownerLimit
            : Math.max(Math.floor(remainder * connectionConstants.standbyShareOfRemainder), 1);
    }

    function findOrCreatePool(database: string, definition: EndpointDefinition): EndpointPool {
        const endpoint = definition.name;
        const address = `${definition.host}:${definition.port}`;
        const existing = pools.get(endpoint);
        if (existing !== undefined && existing.address === address && existing.database === database) {
            return existing.pool;
        }
        existing?.pool.close();
        const pool = createEndpointPool({
            clock,
            endpoint,
            connect: () => driver.connect(endpoint, definition, connectionConstants.connectTimeoutMilliseconds),
            limit: () => limitOf(database, endpoint),
            warmConnections: () => isOwner(endpoint) ? connectionConstants.warmConnections : 0,
            onFailure: (kind, message) => reportFailure({ database, endpoint, kind, message }),
        });
        pools.set(endpoint, { database, pool, address });
        return pool;
    }

    function reportFailure(failure: ConnectionFailure): void {
        for (const listener of listeners) {
            listener(failure);
        }
    }

    async function acquire(
        database: string,
        endpoint: string,
        timeoutMilliseconds: number,
    ): Promise<AcquiredConnection> {
        const definition = findDatabaseEndpoint(configuration.current().content, database, endpoint);
        if (definition === undefined) {
            throw createError(ErrorKind.NotFound, `Database ${database} has no endpoint ${endpoint}.`, {
                remedy: "Read the configuration in force again.",
            });
        }
        return await findOrCreatePool(database, definition).acquire(timeoutMilliseconds);
    }

    function onConnectionFailure(listener: (failure: ConnectionFailure) => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }

    function closeObsoletePools(): void {
        for (const [endpoint, { database, pool, address }] of pools) {
            const definition = findDatabaseEndpoint(configuration.current().content, database, endpoint);
            if (definition === undefined || `${definition.host}:${definition.port}` !== address) {
                pool.close();
                pools.delete(endpoint);
            }
        }
    }

    async function runAdjustmentLoop(): Promise<void> {
        while (!end.signal.aborted) {
            await clock.sleep(connectionConstants.adjustmentIntervalMilliseconds, end.signal);
            for (const { pool } of pools.values()) {
                pool.adjustSize();
            }
        }
    }

    function gauges(): ReturnType<EndpointConnections["gauges"]> {
        return [...pools.values()].map(({ pool }) => pool.gauge());
    }

    async function start(): Promise<void> {
        subscriptions.push(configuration.onChange(closeObsoletePools));
        adjustmentLoop = runAdjustmentLoop();
    }

    async function stop(): Promise<void> {
        end.abort();
        subscriptions.forEach(unsubscribe => unsubscribe());
        await adjustmentLoop;
        for (const { pool } of pools.values()) {
            pool.close();
        }
    }

    return {
        acquire,
        onConnectionFailure,
        gauges,
        describeWork: () =>
            gauges().filter(gauge => gauge.inUse > 0).map(gauge =>
                `${gauge.inUse} connections to ${gauge.endpoint} in use`
            ),
        start,
        stop,
    };
}
