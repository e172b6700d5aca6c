import { writeFileSync } from "node:fs";
import { join } from "node:path";
import type { Clock } from "../../clock/types/Clock.js";
import { encodeVmSettings } from "../../platform/standIns/encodeVmSettings/index.js";
import { queryReadiness } from "../../platform/standIns/queryReadiness/index.js";
import type { PlatformStandIn } from "../../platform/standIns/types/PlatformStandIn.js";
import { startProcess } from "../../site/startProcess/index.js";
import { SiteBinary } from "../../site/types/SiteBinary.js";
import type { SiteProcess } from "../../site/types/SiteProcess.js";
import type { VmSettings } from "../../vm/types/VmSettings.js";
import { soakConstants } from "../constants.js";
import { createFaultyProxy } from "../createFaultyProxy/index.js";
import type { SoakVm } from "../types/SoakVm.js";

/** Options of `startSoakVm`. */
interface SoakVmOptions {
    /** Number of the VM. */
    readonly index: number;
    /** Reserved ports for callers, readiness and peers. */
    readonly ports: readonly number[];
    readonly platform: PlatformStandIn;
    /** Folder for the settings file of the VM. */
    readonly folder: string;
    readonly clock: Clock;
    /** Settings that differ from those of the soak test. */
    readonly changes?: Partial<VmSettings>;
    /** Arguments of the runtime, before the program. */
    readonly runtimeArguments?: readonly string[];
}

const millisecondsPerSecond = 1_000;
const addressesPerByte = 250;

/**
 * Starts one VM of the soak test: the real program as a separate process, with its own address on the loopback
 * interface and links that can be disturbed.
 *
 * @param options Number and ports of the VM, the platform and the folder for its settings file.
 * @returns The VM; its process has been started and may not be ready yet.
 *
 * @example
 * const vm = await startSoakVm({ index: 0, ports, platform, folder, clock });
 */
export async function startSoakVm(options: SoakVmOptions): Promise<SoakVm> {
    const { index, ports, platform, folder, clock, runtimeArguments = [] } = options;
    const name = `vm-${index + 1}`;
    const host = chooseHost(index);
    const availabilityZone = soakConstants.zones[index % soakConstants.zones.length]!;
    const [callerPort, readinessPort, peerPort] = ports;
    const storeLink = await createFaultyProxy("127.0.0.1", platform.store.port, clock);
    const callerLink = await createFaultyProxy(host, callerPort!, clock);
    const addressOf = (port: number, at = host) => ({ host: at, port, availabilityZone });
    const settings: VmSettings = {
        name,
        availabilityZone,
        region: "north",
        regionsByZone: Object.fromEntries(soakConstants.zones.map(zone => [zone, "north"])),
        isFirstStart: true,
        callerAddress: addressOf(callerPort!),
        readinessAddress: addressOf(readinessPort!),
        peerAddress: addressOf(peerPort!),
        storeAddress: addressOf(storeLink.port, "127.0.0.1"),
        promotionAddress: addressOf(platform.promotionPort, "127.0.0.1"),
        capacity: 1,
        memory: { megabytes: 350, callerShare: 0.1, connectionBytes: 524_288 },
        callerLimits: {
            maximumDescriptors: 65_536,
            sessionBytes: 2_097_152,
            answerBytes: 16_777_216,
            progressMilliseconds: 60_000,
        },
        configurationMilliseconds: soakConstants.configurationMilliseconds,
        graceMilliseconds: soakConstants.graceSeconds * millisecondsPerSecond,
        quotaExcess: { windowMilliseconds: 5_000, share: 0.1, operations: 20 },
        ...options.changes,
    };
    const settingsFile = join(folder, `${name}.toml`);
    const unexpectedExits: string[] = [];
    const outputs: (() => string)[] = [];
    let running: SiteProcess | undefined;
    let isFirstStart = true;

    function rewriteSettings(): void {
        writeFileSync(settingsFile, encodeVmSettings({ ...settings, isFirstStart }));
    }

    function start(): void {
        const started = startProcess(name, SiteBinary.Node, { settingsFile, runtimeArguments });
        running = started;
        outputs.push(started.output);
        void started.exited.then(reason => {
            if (running === started) {
                running = undefined;
                unexpectedExits.push(`${name} ended by itself: ${reason}`);
            }
        });
    }

    async function terminate(signal: NodeJS.Signals): Promise<void> {
        const ending = running;
        running = undefined;
        ending?.signal("SIGCONT");
        ending?.signal(signal);
        const kill = setTimeout(() => ending?.signal("SIGKILL"), settings.graceMilliseconds);
        await ending?.exited;
        clearTimeout(kill);
        isFirstStart = false;
        rewriteSettings();
    }

    rewriteSettings();
    start();
    return {
        name,
        callerAddress: settings.callerAddress,
        peerAddress: settings.peerAddress,
        callerLink,
        storeLink,
        processId: () => running?.processId,
        isRunning: () => running !== undefined,
        isReady: () => queryReadiness(readinessPort!, host),
        sendSignal: signal => running?.signal(signal),
        terminate,
        start,
        rewriteSettings,
        unexpectedExits,
        output: () => outputs.map(read => read()).join(""),
    };
}

/** Chooses addresses that differ between VMs, and between soak tests that run at the same time. */
function chooseHost(index: number): string {
    const high = 1 + process.pid % addressesPerByte;
    const middle = Math.floor(process.pid / addressesPerByte) % addressesPerByte;
    return `127.${high}.${middle}.${index + 2}`;
}
