/**
 * Runs the bundled `tarragonpost-node` against stand-ins of the platform, beside a second VM, and has it write its V8 code
 * cache: a process that starts after a loss of power then finds all functions compiled that its first seconds need.
 *
 * Arguments: the folder of the bundle, and the flags for V8.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdirSync, writeFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { ReadGuarantee } from "../src/directory/types/ReadGuarantee.js";
import { createCallerStandIn } from "../src/platform/standIns/createCallerStandIn/index.js";
import { createPlatformStandIn } from "../src/platform/standIns/createPlatformStandIn/index.js";
import { encodeVmSettings } from "../src/platform/standIns/encodeVmSettings/index.js";
import { queryReadiness } from "../src/platform/standIns/queryReadiness/index.js";
import { reservePorts } from "../src/site/reservePorts/index.js";
import { createRoute } from "../src/testing/createRoute/index.js";
import { createVmSettings } from "../src/testing/createVmSettings/index.js";

const [folder = "", ...flags] = process.argv.slice(2);
const startAttempts = 100;
const startPauseMilliseconds = 100;
const sessionCount = 30;
const transaction = ["SET unit kg", "BEGIN", "WRITE a one", "READ a", "COMMIT", "PARSE s1 READ q", "EXECUTE s1 a", "READ a"];
/** Differs between builds that run at the same time, because the port of the metrics is fixed. */
const network = `127.77.${1 + process.pid % 250}`;

const platform = await createPlatformStandIn({ group: "orders", zones: ["a", "b", "c"], promotionMilliseconds: 50 });
platform.configure(1, [
    createRoute({ database: "primary", guarantee: ReadGuarantee.Primary }),
    createRoute({ database: "bounded", guarantee: ReadGuarantee.BoundedStaleness, maximumStalenessMilliseconds: 2_000 }),
    createRoute({ database: "own", guarantee: ReadGuarantee.ReadYourWrites, maximumStalenessMilliseconds: 2_000 }),
]);

async function start(name: string, host: string, argument: readonly string[]) {
    const { ports: [callerPort = 0, readinessPort = 0, peerPort = 0] } = await reservePorts(3);
    const addressOf = (port: number, at = host) => ({ host: at, port, availabilityZone: "a" });
    mkdirSync(folder, { recursive: true });
    const settingsFile = `${folder}/${name}.toml`;
    writeFileSync(
        settingsFile,
        encodeVmSettings(createVmSettings({
            name,
            callerAddress: addressOf(callerPort),
            readinessAddress: addressOf(readinessPort),
            peerAddress: addressOf(peerPort),
            storeAddress: addressOf(platform.store.port, "127.0.0.1"),
            promotionAddress: addressOf(platform.promotionPort, "127.0.0.1"),
        })),
    );
    const child = spawn(process.execPath, [...flags, `${folder}/index.cjs`, ...argument], {
        env: { ...process.env, TARRAGONPOST_SETTINGS: settingsFile },
        stdio: ["ignore", "ignore", "inherit"],
    });
    for (let attempt = 0; !await queryReadiness(readinessPort, host).catch(() => false); attempt += 1) {
        if (attempt === startAttempts || child.exitCode !== null) {
            throw new Error(`${name} did not become ready`);
        }
        await sleep(startPauseMilliseconds);
    }
    return { child, callerPort, host };
}

async function runSession(port: number, host: string, database: string): Promise<void> {
    const { caller } = await createCallerStandIn(port, database, host);
    for (const statement of transaction) {
        await caller.run(statement);
    }
    caller.close();
}

const children: ChildProcess[] = [];
try {
    const helper = await start("warm-up-1", `${network}.2`, []);
    children.push(helper.child);
    const compiled = await start("warm-up-2", `${network}.3`, ["--compile"]);
    children.push(compiled.child);
    for (let count = 0; count < sessionCount; count += 1) {
        const database = ["primary", "bounded", "own"][count % 3]!;
        await runSession(compiled.callerPort, compiled.host, database);
    }
    compiled.child.kill("SIGUSR2");
    await once(compiled.child, "exit");
}
finally {
    children.forEach(child => child.kill("SIGKILL"));
    platform.stop();
}
process.exit(0);
