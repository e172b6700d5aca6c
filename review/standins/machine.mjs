/** A machine of the system: the program with the command of the deploy file, and a restart whenever it ends by itself. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { once } from "node:events";
import { tmpdir } from "node:os";
import { join } from "node:path";

const repository = new URL("../../", import.meta.url).pathname;
const command = /^run = "(.*)"$/m.exec(readFileSync(join(repository, "deploy/system.toml"), "utf8"))[1].split(" ");

async function findFreePort(host) {
    const server = createServer();
    server.listen(0, host);
    await once(server, "listening");
    const { port } = server.address();
    server.close();
    await once(server, "close");
    return port;
}

function formatSettings(machine, platform, isFirstStart) {
    const { name, host, zone, regions, ports: [front, ready, control] } = machine;
    return `nodeName = "${name}"
role = "node"
machineClass = "front"
serves = ["front","control"]
ip = "${host}"
zone = "${zone}"
region = "${regions[zone]}"
portRange = [7440,7455]
seeds = []
bootstrap = ${isFirstStart}
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","sql","platform"]
[zones]
${Object.entries(regions).map(([zoneName, region]) => `${zoneName} = "${region}"`).join("\n")}
[listen]
front = "${host}:${front}"
ready = "${host}:${ready}"
control = "${host}:${control}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
stableMs = 5000
ackMs = 6000
catchUpS = 4
drainMs = 7000
graceS = 6
lostSlackMs = 200
configApplyMs = 4000
revertSlackMs = 250
recoverS = 12
thawMs = 300
[platform]
addr = "127.0.0.1:${platform.store.port}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
[cloudApi]
addr = "127.0.0.1:${platform.promotionPort}"
ratePerS = 50.0
duties = ["failover"]
dutyPerS = 50.0
`;
}

/** Starts a machine at a loopback address of its own; the program serves its metrics at a fixed port. */
export async function startMachine({ name, host, zone, regions, platform, onEnd = () => {}, restartMs = 500 }) {
    const folder = mkdtempSync(join(tmpdir(), "tarragonpost-review-"));
    const ports = [await findFreePort(host), await findFreePort(host), await findFreePort(host)];
    const machine = { name, host, zone, regions, ports, front: ports[0], starts: 0, ends: [], child: undefined, lastOutput: "" };
    let isStopping = false;
    let isPlannedEnd = false;
    function start(isFirstStart) {
        const settings = join(folder, "node.toml");
        writeFileSync(settings, formatSettings(machine, platform, isFirstStart));
        const child = spawn(command[0], command.slice(1), {
            cwd: repository,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, TARRAGONPOST_SETTINGS: settings },
            stdio: ["ignore", "pipe", "pipe"],
        });
        machine.child = child;
        machine.starts += 1;
        child.stdout.resume();
        child.stderr.on("data", chunk => {
            machine.lastOutput = (machine.lastOutput + chunk).slice(-4_000);
        });
        child.once("exit", (code, signal) => {
            if (isStopping) {
                return;
            }
            const end = { machine: name, at: Date.now(), code, signal, output: machine.lastOutput };
            if (!isPlannedEnd) {
                machine.ends.push(end);
                onEnd(end);
            }
            isPlannedEnd = false;
            setTimeout(() => {
                if (!isStopping) {
                    start(false);
                }
            }, restartMs);
        });
    }
    machine.isReady = () =>
        new Promise(resolve => {
            const request = get({ host, port: ports[1], path: "/-/readiness", timeout: 500 }, response => {
                response.resume();
                resolve(response.statusCode === 200);
            });
            request.on("timeout", () => request.destroy());
            request.on("error", () => resolve(false));
        });
    machine.waitUntilReady = async (limitMs = 15_000) => {
        for (const deadline = Date.now() + limitMs; Date.now() < deadline;) {
            if (await machine.isReady()) {
                return true;
            }
            await new Promise(resolve => setTimeout(resolve, 100));
        }
        return false;
    };
    /** Resident memory of the program, in MB; 0 while it does not run. */
    machine.memoryMb = () => {
        try {
            const status = readFileSync(`/proc/${machine.child.pid}/status`, "utf8");
            return Math.round(Number(/^VmRSS:\s+(\d+)/m.exec(status)[1]) / 1024);
        }
        catch {
            return 0;
        }
    };
    /** Stops the program as planned: SIGTERM, SIGKILL after the grace time, and a start after that. */
    machine.terminate = (graceMs = 6_000) => {
        const { child } = machine;
        isPlannedEnd = true;
        child.kill("SIGTERM");
        const kill = setTimeout(() => child.kill("SIGKILL"), graceMs);
        child.once("exit", () => clearTimeout(kill));
    };
    machine.stop = async () => {
        isStopping = true;
        const { child } = machine;
        if (child.exitCode === null && child.signalCode === null) {
            const exited = once(child, "exit");
            child.kill("SIGKILL");
            await exited;
        }
        rmSync(folder, { recursive: true, force: true });
    };
    start(true);
    return machine;
}
