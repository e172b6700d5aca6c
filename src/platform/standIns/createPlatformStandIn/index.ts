import { once } from "node:events";
import { createServer } from "node:http";
import type { Route } from "../../../directory/types/Route.js";
import { createEndpointStandIn } from "../createEndpointStandIn/index.js";
import { createStoreStandIn } from "../createStoreStandIn/index.js";
import { routeTypesByGuarantee } from "../routeTypesByGuarantee.js";
import type { EndpointStandIn } from "../types/EndpointStandIn.js";
import type { ExecutedStatement } from "../types/ExecutedStatement.js";
import type { LogEntry } from "../types/LogEntry.js";
import type { PlatformStandIn } from "../types/PlatformStandIn.js";
import type { PromotionOrder } from "../types/PromotionOrder.js";
import type { StandInWorkspace } from "../types/StandInWorkspace.js";

/** Options of `createPlatformStandIn`. */
interface PlatformStandInOptions {
    readonly group: string;
    /** Availability zones of the endpoints, one each; the first endpoint is the primary. */
    readonly zones: readonly string[];
    /** Time from a promotion order to the promotion. */
    readonly promotionMilliseconds: number;
    /** Returns the port that an endpoint registers; the endpoint's own port when left out. */
    readonly chooseRegisteredPort?: (endpoint: EndpointStandIn) => Promise<number>;
}

const connectionLimit = 21;
/** Time after which endpoints report to the store again, in milliseconds. */
const reportMilliseconds = 1_000;
const idleTransactionMilliseconds = 3_000;

/**
 * Starts the platform for tests: its store, one group of registered endpoints, and the server for promotion orders.
 *
 * @param options The group, the availability zones of its endpoints, and the duration of a promotion.
 * @returns The platform, with the first endpoint as the primary and without routes.
 *
 * @example
 * const platform = await createPlatformStandIn({ group: "orders", zones: ["a", "b", "c"], promotionMilliseconds: 50 });
 */
export async function createPlatformStandIn(options: PlatformStandInOptions): Promise<PlatformStandIn> {
    const { group, zones } = options;
    const store = await createStoreStandIn();
    const executedStatements: ExecutedStatement[] = [];
    const promotionOrders: PromotionOrder[] = [];
    const discardedEntries: LogEntry[] = [];
    const leavingIds = new Set<string>();
    const unregisteredIds = new Set<string>();
    let configuration: unknown;
    let reportNumber = 0;
    const endpoints = await Promise.all(zones.map((_zone, index) =>
        createEndpointStandIn({
            id: `i-${index + 1}`,
            group,
            isPrimary: index === 0,
            onCommit: replicate,
            onExecuted: statement => executedStatements.push(statement),
            onRoleChange: register,
        })
    ));
    const promotionServer = createServer((request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("end", () => {
            const { id } = JSON.parse(Buffer.concat(chunks).toString("utf8")) as { id: string; };
            const fencingToken = Number(request.headers["x-fencing-token"]);
            promotionOrders.push({
                endpointId: id,
                holderName: String(request.headers["x-duty-holder"]),
                fencingToken,
            });
            setTimeout(() => promote(id), options.promotionMilliseconds);
            response.end("{}");
        });
    });
    promotionServer.listen(0, "127.0.0.1");
    await once(promotionServer, "listening");
    const registeredPorts = new Map<EndpointStandIn, number>();
    for (const endpoint of endpoints) {
        registeredPorts.set(endpoint, await (options.chooseRegisteredPort?.(endpoint) ?? endpoint.port));
        register(endpoint);
    }

    function register(endpoint: EndpointStandIn): void {
        unregisteredIds.delete(endpoint.id);
        reportNumber += 1;
        store.put("servers", endpoint.id, {
            service: group,
            addr: `127.0.0.1:${registeredPorts.get(endpoint)}`,
            zone: zones[endpoints.indexOf(endpoint)],
            version: "v1",
            slots: 3,
            state: leavingIds.has(endpoint.id) ? "draining" : "ready",
            coldLeftMs: 0,
            dbRole: endpoint.isPrimary ? "primary" : "replica",
            seq: reportNumber,
            born: 1,
        });
    }

    /** Writes what the operator and the endpoints know to be missing from a restored store. */
    function writeAgain(): void {
        endpoints.filter(({ id }) => !unregisteredIds.has(id)).forEach(register);
        if (configuration !== undefined) {
            store.put("config", "main", configuration);
        }
    }

    function replicate(primary: EndpointStandIn, entry: LogEntry): void {
        for (const replica of endpoints.filter(endpoint => endpoint !== primary)) {
            setTimeout(() => receive(replica, primary, entry), replica.lagMilliseconds);
        }
    }

    function receive(replica: EndpointStandIn, primary: EndpointStandIn, entry: LogEntry): void {
        const cannotReceive = replica.isIsolated || primary.isIsolated || replica.heldTerm > 0 || replica.isPrimary;
        if (!cannotReceive && entry.position.term >= replica.term) {
            replica.term = entry.position.term;
            replica.log.push(...primary.log.slice(replica.log.length, primary.log.lastIndexOf(entry) + 1));
        }
    }

    /** Makes an endpoint a replica with a copy of the current primary's log; discards its other entries. */
    function follow(endpoint: EndpointStandIn, primary: EndpointStandIn): void {
        const primaryEntries = new Set(primary.log);
        discardedEntries.push(...endpoint.log.filter(entry => !primaryEntries.has(entry)));
        endpoint.isPrimary = false;
        endpoint.term = primary.term;
        endpoint.heldTerm = 0;
        endpoint.log = [...primary.log];
        register(endpoint);
    }

    function findPrimary(): EndpointStandIn | undefined {
        return endpoints
            .filter(endpoint => endpoint.isPrimary)
            .sort((left, right) => right.term - left.term)[0];
    }

    /** Ends an endpoint's isolation; endpoints that are not isolated then follow the current primary. */
    function rejoin(endpoint: EndpointStandIn): void {
        endpoint.isIsolated = false;
        const primary = findPrimary();
        if (primary === undefined || primary.isIsolated) {
            return;
        }
        endpoints.filter(other => other !== primary && !other.isIsolated).forEach(other => follow(other, primary));
    }

    function promote(id: string): void {
        const successor = endpoints.find(endpoint => endpoint.id === id)!;
        const term = Math.max(...endpoints.map(endpoint => endpoint.term)) + 1;
        successor.isPrimary = true;
        successor.term = term;
        successor.heldTerm = 0;
        register(successor);
        const others = endpoints.filter(endpoint => endpoint !== successor && !endpoint.isIsolated);
        others.forEach(endpoint => follow(endpoint, successor));
    }

    return {
        store,
        endpoints,
        executedStatements,
        promotionOrders,
        promotionPort: (promotionServer.address() as { port: number; }).port,
        configure: (version, routes, workspaces) => {
            configuration = encodeConfiguration(group, version, routes, workspaces);
            store.put("config", "main", configuration);
        },
        restoreStore: ageMilliseconds => {
            store.restoreCopy(ageMilliseconds);
            setTimeout(writeAgain, reportMilliseconds);
        },
        announceLeaving: endpoint => {
            leavingIds.add(endpoint.id);
            register(endpoint);
        },
        register,
        registerUnused: (id, slots) =>
            store.put("servers", id, {
                service: "unused",
                addr: "127.0.0.1:1",
                zone: zones[0],
                slots,
                state: "ready",
                dbRole: "replica",
            }),
        unregister: endpoint => {
            unregisteredIds.add(endpoint.id);
            store.remove("servers", endpoint.id);
        },
        rejoin,
        findPrimary,
        discardedEntries,
        stop: () => {
            store.stop();
            promotionServer.close();
            promotionServer.closeAllConnections();
            endpoints.forEach(endpoint => endpoint.kill());
        },
    };
}

function encodeConfiguration(
    group: string,
    version: number,
    routes: readonly Route[],
    workspaces: readonly StandInWorkspace[] | undefined,
) {
    return {
        version,
        routes: routes.map(route => ({
            name: `r-${route.database}`,
            host: route.database,
            pathPrefix: "/",
            routeType: routeTypesByGuarantee[route.guarantee],
            timeoutMs: route.statementTimeoutMilliseconds,
            targetLatencyMs: route.targetLatencyMilliseconds,
            priority: route.priority,
            service: route.group,
            maxTries: 2,
            maxStalenessMs: route.maximumStalenessMilliseconds,
        })),
        services: [{ name: group, healthPath: "/health", maxConns: connectionLimit, syncReplicas: 0 }],
        limits: { txIdleMs: idleTransactionMilliseconds },
        tenants: workspaces?.map(({ name, key, operationsPerSecond }) => ({
            name,
            apiKeys: [key],
            priority: 0,
            ratePerS: operationsPerSecond,
            burst: operationsPerSecond,
        })),
    };
}
