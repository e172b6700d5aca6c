/**
 * The platform around the system: the store, one database service with its backends, and the order to promote. A backend
 * that crashed sends nothing: its entry is removed after three heartbeat intervals.
 */
import { once } from "node:events";
import { createServer } from "node:http";
import { startBackend } from "./backend.mjs";
import { startStore } from "./store.mjs";

const heartbeatMs = 1_200;

export async function startPlatform({ service = "orders-db", zones, routes, lagMs = 20, promoteMs = 300, maxConns = 43, txIdleMs = 3_000, syncReplicas = 0, onRun = () => {}, onPromoted = () => {}, answerOf }) {
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
    const receiveTimers = new Set();
    function later(milliseconds, action) {
        const timer = setTimeout(() => {
            receiveTimers.delete(timer);
            action();
        }, milliseconds);
        receiveTimers.add(timer);
    }
    /** A replica takes over the primary's log up to a number of entries, and drops what the primary does not have. */
    function receive(replica, primary, length) {
        const canReceive = !replica.isDown && !replica.isDeaf && !replica.isPrimary && !primary.isDown && primary.isPrimary
            && replica.heldTerm <= primary.term;
        if (!canReceive) {
            return false;
        }
        const isPrefix = replica.log.every((entry, index) => primary.log[index] === entry);
        replica.term = primary.term;
        replica.log = primary.log.slice(0, isPrefix ? Math.max(replica.log.length, length) : length);
        return true;
    }
    function replicate(primary, entry) {
        return new Promise(resolve => {
            let received = 0;
            if (syncReplicas === 0) {
                resolve();
            }
            const length = primary.log.length;
            const entryIsThere = replica => replica.log.includes(entry);
            const attempt = replica =>
                later(lagMs, () => {
                    const isReceived = receive(replica, primary, length) && entryIsThere(replica);
                    if (isReceived) {
                        received += 1;
                        if (received >= syncReplicas) {
                            resolve();
                        }
                    }
                    else if (primary.isPrimary && !primary.isDown && primary.log.includes(entry)) {
                        attempt(replica);
                    }
                });
            backends.filter(other => other !== primary).forEach(attempt);
        });
    }
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
    const lastReports = new Map();
    const heartbeat = setInterval(() => {
        for (const backend of backends) {
            if (!backend.isDown) {
                lastReports.set(backend.id, Date.now());
                register(backend);
            }
            else if (Date.now() - (lastReports.get(backend.id) ?? 0) >= 3 * heartbeatMs) {
                store.remove("servers", backend.id);
            }
        }
    }, heartbeatMs);
    /** Crashes a backend; it comes back with its log, as a replica if another one was promoted meanwhile. */
    function crash(backend, forMs) {
        backend.stop();
        if (forMs !== undefined) {
            later(forMs, async () => {
                await backend.restart();
                const present = backends.filter(other => other.isPrimary && !other.isDown).sort((left, right) => right.term - left.term)[0];
                if (present !== undefined && present !== backend) {
                    backend.isPrimary = false;
                    receive(backend, present, present.log.length);
                }
                register(backend);
            });
        }
    }
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
            if (!successor.isPrimary && !successor.isDown) {
                Object.assign(successor, { isPrimary: true, term, heldTerm: 0 });
                onPromoted(successor);
                register(successor);
                backends.filter(other => other !== successor && !other.isDown && !other.isPrimary)
                    .forEach(other => receive(other, successor, successor.log.length));
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
        services: [{ name: service, healthPath: "/health", maxConns, protocol: "h1", tls: false, syncReplicas }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000, txIdleMs },
    });
    return {
        store,
        backends,
        orders,
        crash,
        promotionPort: promotions.address().port,
        stop: () => {
            clearInterval(heartbeat);
            receiveTimers.forEach(clearTimeout);
            promotions.close();
            promotions.closeAllConnections();
            backends.forEach(backend => backend.stop());
            store.stop();
        },
    };
}
