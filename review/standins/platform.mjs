/** The platform around the system: the store, one database service with three backends, and the order to promote. */
import { once } from "node:events";
import { createServer } from "node:http";
import { startBackend } from "./backend.mjs";
import { startStore } from "./store.mjs";

const heartbeatMs = 1_200;

export async function startPlatform({ service = "orders-db", zones, routes, lagMs = 20, promoteMs = 300, maxConns = 43, txIdleMs = 3_000, onRun = () => {}, answerOf }) {
    const store = await startStore();
    const backends = [];
    let reports = 0;
    const bornAt = Date.now();
    const register = backend => {
        reports += 1;
        store.put("servers", backend.id, {
            service,
            addr: `127.0.0.1:${backend.port}`,
            zone: backend.zone,
            version: "v1",
            slots: 3,
            state: "ready",
            coldLeftMs: 0,
            dbRole: backend.isPrimary ? "primary" : "replica",
            seq: reports,
            born: bornAt,
        });
    };
    const replicate = (primary, entry) => {
        for (const replica of backends.filter(other => other !== primary && !other.isPrimary)) {
            setTimeout(() => {
                if (primary.isPrimary && !replica.isPrimary && entry.term >= replica.term) {
                    replica.term = entry.term;
                    replica.log = primary.log.slice(0, Math.max(replica.log.length, primary.log.indexOf(entry) + 1));
                }
            }, lagMs);
        }
    };
    for (const [index, zone] of zones.entries()) {
        const backend = await startBackend({
            id: `i-${index + 1}`,
            service,
            isPrimary: index === 0,
            onCommit: replicate,
            onRun,
            maxConns,
            answerOf,
        });
        backend.zone = zone;
        backend.onRoleChange = () => register(backend);
        backends.push(backend);
        register(backend);
    }
    const heartbeat = setInterval(() => backends.forEach(register), heartbeatMs);
    const orders = [];
    const promotions = createServer(async (request, response) => {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const { id } = JSON.parse(Buffer.concat(chunks).toString("utf8"));
        orders.push({ id, holder: request.headers["x-duty-holder"], token: Number(request.headers["x-fencing-token"]) });
        setTimeout(() => {
            const term = Math.max(...backends.map(backend => backend.term)) + 1;
            const successor = backends.find(backend => backend.id === id);
            if (!successor.isPrimary) {
                Object.assign(successor, { isPrimary: true, term, heldTerm: 0 });
                register(successor);
            }
        }, promoteMs);
        response.end("{}");
    });
    promotions.listen(0, "127.0.0.1");
    await once(promotions, "listening");
    store.put("config", "main", {
        version: 7,
        routes: routes.map(({ host, routeType, timeoutMs = 800, maxStalenessMs }) => ({
            name: `r-${host}`,
            host,
            pathPrefix: "/",
            routeType,
            timeoutMs,
            targetLatencyMs: 800,
            priority: 1,
            service,
            maxTries: 2,
            ...maxStalenessMs === undefined ? {} : { maxStalenessMs },
        })),
        services: [{ name: service, healthPath: "/health", maxConns, protocol: "h1", tls: false, syncReplicas: 0 }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000, txIdleMs },
    });
    return {
        store,
        backends,
        orders,
        promotionPort: promotions.address().port,
        stop: () => {
            clearInterval(heartbeat);
            promotions.close();
            promotions.closeAllConnections();
            backends.forEach(backend => backend.stop());
            store.stop();
        },
    };
}
