import { spawn } from "node:child_process";
import { once } from "node:events";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { createPlatformStandIn } from "../../src/platform/standIns/createPlatformStandIn/index.js";

/** The command of the deploy file. */
const programArguments = ["--max-old-space-size=200", "target/binaries/node/index.cjs"];
const readyTimeoutMilliseconds = 15_000;
/** Pause before the platform starts a process again that has ended. */
const restartMilliseconds = 500;
const zones = ["ga-north-a", "ga-north-b", "ga-south-a"];

// An error that nobody expected is no broken rule: the case could not run.
process.on("uncaughtException", error => {
    console.error(error);
    process.exit(2);
});

/** Creates the record of a case, which is written to `record.txt` in the folder of the case. */
export function createRecord(folder) {
    const file = join(folder, "record.txt");
    const startedAt = performance.now();
    writeFileSync(file, "");
    return text => {
        const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3).padStart(8);
        appendFileSync(file, `${seconds} ${text}\n`);
    };
}

/** Records the statements of clients that backends have run, in their order. */
export function recordStatements({ executedStatements }, record) {
    for (const { id, endpointId } of executedStatements.filter(statement => statement.id !== "-")) {
        record(`${id} was run by ${endpointId}`);
    }
}

/** Finds a port that is free on a loopback address. */
async function findPort(host) {
    const server = createServer();
    server.listen(0, host);
    await once(server, "listening");
    const { port } = server.address();
    server.close();
    await once(server, "close");
    return port;
}

function createSettings(vm, platform) {
    return `nodeName = "${vm.name}"
role = "node"
serves = ["front", "control"]
ip = "${vm.host}"
zone = "${vm.zone}"
region = "${vm.zone.slice(0, -2)}"
bootstrap = ${vm.isFirstStart && vm.starts === 0}
heartbeatMs = 1200
[zones]
${zones.map(zone => `${zone} = "${zone.slice(0, -2)}"`).join("\n")}
[listen]
front = "${vm.host}:${vm.port}"
ready = "${vm.host}:${vm.readinessPort}"
control = "${vm.host}:${vm.peerPort}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
maxFds = 4200
[bounds]
graceS = 6
configApplyMs = 4000
drainMs = 7000
[platform]
addr = "127.0.0.1:${platform.store.port}"
[cloudApi]
addr = "127.0.0.1:${vm.promotionPort ?? platform.promotionPort}"
`;
}

async function isReady(vm) {
    const request = get({ host: vm.host, port: vm.readinessPort, path: "/-/readiness", timeout: 500 });
    try {
        const [response] = await once(request, "response");
        response.resume();
        return response.statusCode === 200;
    }
    catch {
        return false;
    }
}

/**
 * Starts the platform's stand-in and VMs, each the program of the deploy file with the settings of a small deployment. A
 * process that ends is started again, as the platform does.
 */
export async function startSite({ record, vmCount, routes, isFirstStart = true, openPromotions, ...platformOptions }) {
    const folder = mkdtempSync(join(tmpdir(), "tarragonpost-review-"));
    const platform = await createPlatformStandIn({
        group: "stylus-core",
        zones,
        promotionMilliseconds: 300,
        ...platformOptions,
    });
    platform.configure(1, routes);
    const promotionPort = await openPromotions?.(platform.promotionPort);
    let isStopping = false;

    function start(vm) {
        const settingsFile = join(folder, `${vm.name}.toml`);
        writeFileSync(settingsFile, createSettings(vm, platform));
        vm.starts += 1;
        const child = spawn(process.execPath, programArguments, {
            env: { PATH: process.env.PATH, HOME: folder, TARRAGONPOST_SETTINGS: settingsFile },
            stdio: ["ignore", "ignore", "pipe"],
        });
        let errorText = "";
        child.stderr.on("data", chunk => {
            errorText = `${errorText}${chunk}`.slice(-20_000);
        });
        vm.child = child;
        vm.exited = once(child, "close").then(([code, signal]) => {
            if (isStopping) {
                return;
            }
            const reason = /FATAL ERROR: [^\n]*/.exec(errorText)?.[0] ?? "";
            if (vm.isPlanned) {
                vm.isPlanned = false;
                record(`process of ${vm.name} has ended`);
                setTimeout(() => isStopping || start(vm), restartMilliseconds);
                return;
            }
            vm.ends.push({ code, signal });
            record(`process of ${vm.name} ended by itself, end ${vm.ends.length}: code ${code}, signal ${signal} ${reason}`);
            setTimeout(() => {
                if (!isStopping) {
                    start(vm);
                }
            }, restartMilliseconds);
        });
    }

    const vms = [];
    for (let index = 0; index < vmCount; index += 1) {
        const host = `127.${20 + Math.floor(process.pid / 250) % 200}.${1 + process.pid % 250}.${index + 2}`;
        const zone = zones[index % zones.length];
        vms.push({
            name: `front-${zone}-${index + 1}`,
            host,
            zone,
            port: await findPort(host),
            readinessPort: await findPort(host),
            peerPort: await findPort(host),
            promotionPort,
            isFirstStart,
            starts: 0,
            ends: [],
        });
    }
    process.once("exit", () => vms.forEach(({ child }) => child?.kill("SIGKILL")));
    vms.forEach(start);

    async function waitUntilReady(vm) {
        const deadline = performance.now() + readyTimeoutMilliseconds;
        while (performance.now() < deadline) {
            if (await isReady(vm)) {
                record(`${vm.name} is ready`);
                return true;
            }
            await sleep(50);
        }
        return false;
    }

    /** Stops the process of a VM in order; it is then started again. */
    async function restart(vm) {
        record(`${vm.name} gets SIGTERM`);
        vm.isPlanned = true;
        const { exited } = vm;
        vm.child.kill("SIGTERM");
        await exited;
    }

    /** Kills the process of a VM; it is then started again. */
    async function kill(vm) {
        record(`process of ${vm.name} is killed`);
        vm.isPlanned = true;
        const { exited } = vm;
        vm.child.kill("SIGKILL");
        await exited;
    }

    async function stop() {
        isStopping = true;
        vms.forEach(({ child }) => child.kill("SIGKILL"));
        await Promise.all(vms.map(({ exited }) => exited));
        platform.stop();
        rmSync(folder, { recursive: true, force: true });
    }

    return { platform, vms, waitUntilReady, restart, kill, stop };
}
