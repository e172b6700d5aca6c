// Starts the programs of the deploy file and the platform's stand-ins on loopback addresses, and ends them again.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer as createHttpServer, get } from "node:http";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { createService } from "./backends.mjs";
import { createStore } from "./store.mjs";

const longestStartMilliseconds = 20_000;

/** The command of the deploy file, split at blanks. */
function readCommand() {
    const line = readFileSync("deploy/system.toml", "utf8").split("\n").find(each => each.startsWith("run = "));
    return line.slice(line.indexOf("\"") + 1, line.lastIndexOf("\"")).split(" ");
}

/** Writes what was sent, answered and run, one line of JSON each, to a file. */
export function createRecord(file) {
    writeFileSync(file, "");
    const startedAt = performance.now();
    return entry => appendFileSync(file, `${JSON.stringify({ at: Math.round((performance.now() - startedAt) * 10) / 10, ...entry })}\n`);
}

async function findFreePort(host) {
    const server = createServer();
    server.listen(0, host);
    await once(server, "listening");
    const { port } = server.address();
    await new Promise(resolve => server.close(resolve));
    return port;
}

/**
 * Opens a path to an address that can be cut: while `isCut`, nothing passes in either direction, and what was sent
 * arrives when the cut ends.
 */
async function openPath(target) {
    const path = { port: 0, isCut: false, stop: () => server.close() };
    const pairs = new Set();

    function relay(from, to) {
        const held = [];
        from.on("data", chunk => {
            if (path.isCut) {
                held.push(chunk);
            }
            else {
                to.write(chunk);
            }
        });
        return () => held.splice(0).forEach(chunk => to.write(chunk));
    }

    const server = createServer({ noDelay: true }, near => {
        const far = connect({ ...target, noDelay: true });
        const release = [relay(near, far), relay(far, near)];
        pairs.add(release);
        const end = () => {
            pairs.delete(release);
            near.destroy();
            far.destroy();
        };
        for (const socket of [near, far]) {
            socket.on("error", end);
            socket.on("close", end);
        }
    });
    path.setCut = isCut => {
        path.isCut = isCut;
        if (!isCut) {
            pairs.forEach(release => release.forEach(send => send()));
        }
    };
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    path.port = server.address().port;
    return path;
}

function isReady(host, port) {
    return new Promise(resolve => {
        const request = get({ host, port, path: "/-/readiness", timeout: 1_000 }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        request.on("error", () => resolve(false));
        request.on("timeout", () => request.destroy());
    });
}

/**
 * Starts a small deployment.
 *
 * @param options `zones` (of the machines, in order), `regions` (by zone), `service` (its options and its `backends`; with
 * `names`, several services of the same kind), `memoryMb` of each machine,
 * `routes`, `answerPromotion` (called with each order in place of the prompt answer) and `record`.
 */
export async function startSite({ zones, regions, service: serviceOptions, routes, answerPromotion, record, memoryMb = 350 }) {
    const folder = mkdtempSync(join(tmpdir(), "tarragonpost-review-"));
    const store = createStore();
    const services = [];
    for (const name of serviceOptions.names ?? [serviceOptions.name]) {
        const each = createService({ ...serviceOptions, name, store, record });
        for (const { id, zone } of serviceOptions.backends) {
            await each.add({ id: serviceOptions.names === undefined ? id : `${id}-${name}`, zone });
        }
        services.push(each);
    }
    const [service] = services;
    const orders = [];

    function execute(order) {
        record({ event: "order takes effect", ...order });
        return service.promote(order.id);
    }

    /** The platform's API for promotions, reached by each machine over a path of its own. */
    async function openPromotionLink(machine) {
        const server = createHttpServer((request, response) => {
            const chunks = [];
            request.on("data", chunk => chunks.push(chunk));
            request.on("end", () => {
                const order = {
                    machine,
                    holder: request.headers["x-duty-holder"],
                    token: Number(request.headers["x-fencing-token"]),
                    id: JSON.parse(Buffer.concat(chunks).toString("utf8")).id,
                };
                orders.push(order);
                record({ event: "order arrives", ...order });
                const perform = () => {
                    const isRunning = execute(order);
                    response.writeHead(isRunning ? 200 : 409, { "content-type": "application/json" });
                    response.end("{}");
                };
                if (answerPromotion === undefined) {
                    setTimeout(perform, 4);
                }
                else {
                    answerPromotion(order, perform);
                }
            });
        });
        server.on("clientError", (_error, socket) => socket.destroy());
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        return server;
    }

    function configure(version) {
        store.put("config", "main", {
            version,
            routes: routes.map((route, index) => ({ name: `r-${index}`, pathPrefix: "/", maxTries: 2, service: service.name, ...route })),
            services: services.map(({ name }) => ({ name, healthPath: "/health", maxConns: serviceOptions.maxConns, syncReplicas: 0 })),
            limits: { txIdleMs: 5_000 },
        });
    }

    configure(3);
    const command = readCommand();
    const machines = [];
    for (const [index, zone] of zones.entries()) {
        const name = `front-${zone}-${index + 1}`;
        const host = `127.${10 + process.pid % 200}.${Math.floor(process.pid / 200) % 250}.${index + 2}`;
        const [front, ready, control] = [await findFreePort(host), await findFreePort(host), await findFreePort(host)];
        const link = await store.openLink();
        const promotions = await openPromotionLink(name);
        machines.push({ name, zone, host, front, ready, control, link, promotions, child: undefined, output: "", isExpectedToEnd: false, isFirst: true });
    }

    /** Each machine reaches the machine that holds the duty over a path of its own. */
    for (const machine of machines) {
        machine.paths = [];
        const translations = [];
        for (const { host, control } of machines.filter(other => other !== machine)) {
            const path = await openPath({ host, port: control });
            machine.paths.push(path);
            translations.push([`"address":{"host":"${host}","port":${control}`, `"address":{"host":"127.0.0.1","port":${path.port}`]);
        }
        machine.link.translate = text => translations.reduce((changed, [from, to]) => changed.replaceAll(from, to), text);
    }

    /** Cuts a machine off from the store, and from the machine that holds the duty. */
    function cut(machine, isCut) {
        record({ event: isCut ? "machine cut off" : "cut ended", machine: machine.name });
        machine.link.isSilent = isCut;
        machine.paths.forEach(path => path.setCut(isCut));
    }

    function writeSettings(machine) {
        const file = join(folder, `${machine.name}.toml`);
        writeFileSync(file, [
            `nodeName = "${machine.name}"`,
            `role = "node"`,
            `machineClass = "front"`,
            `serves = ["front","control"]`,
            `ip = "${machine.host}"`,
            `zone = "${machine.zone}"`,
            `region = "${regions[machine.zone]}"`,
            `seeds = [${machines.slice(0, 3).map(({ host, control }) => `"${host}:${control}"`).join(",")}]`,
            `bootstrap = ${machine.isFirst}`,
            `faultCounted = false`,
            `discovery = "platform"`,
            `entry = "vip"`,
            `heartbeatMs = 1200`,
            `contracts = ["base","drain","config","cost","recover","sql","platform"]`,
            `[zones]`,
            ...Object.entries(regions).map(([zone, region]) => `${zone} = "${region}"`),
            `[listen]`,
            `front = "${machine.host}:${machine.front}"`,
            `ready = "${machine.host}:${machine.ready}"`,
            `control = "${machine.host}:${machine.control}"`,
            `[limits]`,
            `cpuShare = 0.675`,
            `cores = 1`,
            `memoryMb = ${memoryMb}`,
            `maxFds = 4200`,
            `linkMbps = 1000.0`,
            `diskMb = 0`,
            `[bounds]`,
            `seedLagS = 3`,
            `reuseAfterS = 2`,
            `stableMs = 5000`,
            `ackMs = 6000`,
            `catchUpS = 4`,
            `drainMs = 7000`,
            `graceS = 6`,
            `lostSlackMs = 200`,
            `configApplyMs = 4000`,
            `revertSlackMs = 250`,
            `skewMaxMs = 15000`,
            `recoverS = 12`,
            `requireFence = false`,
            `thawMs = 300`,
            `[platform]`,
            `addr = "127.0.0.1:${machine.link.port}"`,
            `form = "objects"`,
            `writesPerS = 400`,
            `readsPerS = 2000`,
            `historyS = 20`,
            `valueBytes = 1048576`,
            `[cloudApi]`,
            `addr = "127.0.0.1:${machine.promotions.address().port}"`,
            `ratePerS = 50.0`,
            `duties = ["failover"]`,
            `dutyPerS = 50.0`,
            ``,
        ].join("\n"));
        return file;
    }

    function start(machine) {
        const { PATH, HOME, LANG } = process.env;
        const [program, ...words] = command;
        const child = spawn(program, words, {
            env: { PATH, HOME, LANG, TARRAGONPOST_SETTINGS: writeSettings(machine) },
            stdio: ["ignore", "pipe", "pipe"],
        });
        machine.isFirst = false;
        machine.isExpectedToEnd = false;
        machine.child = child;
        const keep = chunk => {
            machine.output += chunk;
        };
        child.stdout.on("data", keep);
        child.stderr.on("data", keep);
        child.on("exit", (code, signal) => {
            record({ event: "process ended", machine: machine.name, code, signal, isExpected: machine.isExpectedToEnd });
        });
    }

    async function waitUntilReady(machine) {
        const endsAt = performance.now() + longestStartMilliseconds;
        while (!await isReady(machine.host, machine.ready)) {
            if (performance.now() > endsAt) {
                throw new Error(`${machine.name} did not become ready`);
            }
            await sleep(100);
        }
    }

    function signal(machine, name) {
        record({ event: "signal", machine: machine.name, signal: name });
        machine.isExpectedToEnd ||= name === "SIGKILL" || name === "SIGTERM";
        machine.child.kill(name);
    }

    /** The machine whose name stands in the record of the holder of the duty. */
    function holder() {
        const names = machines.map(({ name }) => name);
        const recorded = store.read("tarragonpost", "failover")?.spec.name;
        return machines[names.indexOf(recorded)];
    }

    async function stop() {
        const running = machines.filter(({ child }) => child !== undefined && child.exitCode === null && child.signalCode === null);
        await Promise.all(running.map(async machine => {
            machine.isExpectedToEnd = true;
            const ended = once(machine.child, "exit");
            machine.child.kill("SIGCONT");
            machine.child.kill("SIGKILL");
            await ended;
        }));
        services.forEach(each => each.stop());
        store.stop();
        for (const { promotions, paths } of machines) {
            promotions.close();
            promotions.closeAllConnections();
            paths.forEach(path => path.stop());
        }
        rmSync(folder, { recursive: true, force: true });
    }

    machines.forEach(start);
    try {
        await Promise.all(machines.map(waitUntilReady));
    }
    catch (error) {
        await stop();
        throw error;
    }
    return { machines, service, services, store, orders, configure, signal, start, waitUntilReady, holder, cut, stop };
}
