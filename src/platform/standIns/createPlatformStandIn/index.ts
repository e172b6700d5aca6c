import { once } from "node:events";
import { createServer } from "node:http";
import type { Route } from "../../../directory/types/Route.js";
import { createEndpointStandIn } from "../createEndpointStandIn/index.js";
import { createStoreStandIn } from "../createStoreStandIn/index.js";
import { routeWords } from "../routeWords.js";
import type { EndpointStandIn } from "../types/EndpointStandIn.js";
import type { ExecutedStatement } from "../types/ExecutedStatement.js";
import type { LogEntry } from "../types/LogEntry.js";
import type { PlatformStandIn } from "../types/PlatformStandIn.js";
import type { PromotionOrder } from "../types/PromotionOrder.js";

/** Options of `createPlatformStandIn`. */
interface PlatformStandInOptions {
    readonly group: string;
    /** Availability zones of the endpoints; the first holds the primary. */
    readonly zones: readonly string[];
    readonly promoteMilliseconds: number;
    /** Where callers reach an endpoint; its own port when left out. */
    readonly publish?: (endpoint: EndpointStandIn) => Promise<number>;
}

const connectionLimit = 21;
const idleTransactionMilliseconds = 3_000;

/**
 * Starts the platform for tests: its store, one group of endpoints that register themselves, and the orders to promote.
 *
 * @param options The group, the zones of its endpoints, and how long a promotion takes.
 * @returns The platform, with the first endpoint as the primary and no route.
 *
 * @example
 * const platform = await createPlatformStandIn({ group: "orders", zones: ["a", "b", "c"], promoteMilliseconds: 50 });
 */
export async function createPlatformStandIn(options: PlatformStandInOptions): Promise<PlatformStandIn> {
    const { group, zones } = options;
    const store = await createStoreStandIn();
    const executed: ExecutedStatement[] = [];
    const orders: PromotionOrder[] = [];
    const dropped: LogEntry[] = [];
    const leaving = new Set<string>();
    const endpoints = await Promise.all(zones.map((_zone, index) =>
        createEndpointStandIn({
            id: `i-${index + 1}`,
            group,
            isPrimary: index === 0,
            onCommit: replicate,
            onExecuted: statement => executed.push(statement),
            onRoleChange: register,
        })
    ));
    const promotions = createServer((request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("end", () => {
            const { id } = JSON.parse(Buffer.concat(chunks).toString("utf8")) as { id: string; };
            const token = Number(request.headers["x-fencing-token"]);
            orders.push({ endpointId: id, holderName: String(request.headers["x-duty-holder"]), token });
            setTimeout(() => promote(id), options.promoteMilliseconds);
            response.end("{}");
        });
    });
    promotions.listen(0, "127.0.0.1");
    await once(promotions, "listening");
    const ports = new Map<EndpointStandIn, number>();
    for (const endpoint of endpoints) {
        ports.set(endpoint, await (options.publish?.(endpoint) ?? endpoint.port));
        register(endpoint);
    }

    function register(endpoint: EndpointStandIn): void {
        store.put("servers", endpoint.id, {
            service: group,
            addr: `127.0.0.1:${ports.get(endpoint)}`,
            zone: zones[endpoints.indexOf(endpoint)],
            version: "v1",
            slots: 3,
            state: leaving.has(endpoint.id) ? "draining" : "ready",
            coldLeftMs: 0,
            dbRole: endpoint.isPrimary ? "primary" : "replica",
            seq: 1,
            born: 1,
        });
    }

    function replicate(primary: EndpointStandIn, entry: LogEntry): void {
        for (const replica of endpoints.filter(endpoint => endpoint !== primary)) {
            setTimeout(() => receive(replica, primary, entry), replica.lagMilliseconds);
        }
    }

    function receive(replica: EndpointStandIn, primary: EndpointStandIn, entry: LogEntry): void {
        const isCut = replica.isIsolated || primary.isIsolated || replica.heldTerm > 0 || replica.isPrimary;
        if (!isCut && entry.position.term >= replica.term) {
            replica.term = entry.position.term;
            replica.log.push(...primary.log.slice(replica.log.length, primary.log.lastIndexOf(entry) + 1));
        }
    }

    /** Has an endpoint take over the log of the present primary, and drop what that does not hold. */
    function follow(endpoint: EndpointStandIn, primary: EndpointStandIn): void {
        const kept = new Set(primary.log);
        dropped.push(...endpoint.log.filter(entry => !kept.has(entry)));
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

    /** Ends an endpoint's isolation: it hears of the present primary again. */
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
        executed,
        orders,
        promotionPort: (promotions.address() as { port: number; }).port,
        configure: (version, routes) => store.put("config", "main", encodeConfiguration(group, version, routes)),
        leave: endpoint => {
            leaving.add(endpoint.id);
            register(endpoint);
        },
        register,
        unregister: endpoint => store.remove("servers", endpoint.id),
        rejoin,
        findPrimary,
        dropped,
        stop: () => {
            store.stop();
            promotions.close();
            promotions.closeAllConnections();
            endpoints.forEach(endpoint => endpoint.kill());
        },
    };
}

function encodeConfiguration(group: string, version: number, routes: readonly Route[]) {
    return {
        version,
        routes: routes.map(route => ({
            name: `r-${route.database}`,
            host: route.database,
            pathPrefix: "/",
            routeType: routeWords[route.guarantee],
            timeoutMs: route.statementTimeoutMilliseconds,
            targetLatencyMs: route.targetLatencyMilliseconds,
            priority: route.priority,
            service: route.group,
            maxTries: 2,
            maxStalenessMs: route.maximumStalenessMilliseconds,
        })),
        services: [{ name: group, healthPath: "/health", maxConns: connectionLimit, syncReplicas: 0 }],
        limits: { txIdleMs: idleTransactionMilliseconds },
    };
}
