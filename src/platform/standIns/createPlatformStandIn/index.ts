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
    endpoints.forEach(register);

    function register(endpoint: EndpointStandIn): void {
        store.put("servers", endpoint.id, {
            service: group,
            addr: `127.0.0.1:${endpoint.port}`,
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
            replica.log.push(entry);
        }
    }

    function promote(id: string): void {
        const successor = endpoints.find(endpoint => endpoint.id === id)!;
        const term = Math.max(...endpoints.map(endpoint => endpoint.term)) + 1;
        successor.isPrimary = true;
        successor.term = term;
        successor.heldTerm = 0;
        register(successor);
        endpoints.filter(endpoint => endpoint !== successor && !endpoint.isIsolated).forEach(follow);

        function follow(endpoint: EndpointStandIn): void {
            endpoint.isPrimary = false;
            endpoint.term = term;
            endpoint.heldTerm = 0;
            endpoint.log = [...successor.log];
            register(endpoint);
        }
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
