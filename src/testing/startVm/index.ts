import { createKernel } from "../../kernel/createKernel/index.js";
import type { Kernel } from "../../kernel/types/Kernel.js";
import { queryReadiness } from "../../platform/standIns/queryReadiness/index.js";
import type { PlatformStandIn } from "../../platform/standIns/types/PlatformStandIn.js";
import { reservePorts } from "../../site/reservePorts/index.js";
import { listVmServices } from "../../vm/listVmServices/index.js";
import type { VmSettings } from "../../vm/types/VmSettings.js";
import { createVmSettings } from "../createVmSettings/index.js";

/** The program of a VM, running in the test's process. */
interface StartedVm {
    readonly settings: VmSettings;
    readonly kernel: Kernel;
    /** The parsed lines of the VM's log. */
    readonly logLines: readonly Readonly<Record<string, unknown>>[];
    /** Whether the VM accepts new connections. */
    isReady(): Promise<boolean>;
    /** Stops the VM gracefully. */
    stop(): Promise<void>;
}

/** Settings that a test may change. */
type VmOptions = Partial<Pick<VmSettings, "graceMilliseconds" | "availabilityZone" | "memory">>;

/**
 * Starts the program of a VM against the platform's stand-in.
 *
 * @param name Name of the VM.
 * @param platform The platform.
 * @param options Settings that differ from the defaults.
 * @returns The running program.
 *
 * @example
 * const vm = await startVm("vm-1", platform);
 */
export async function startVm(name: string, platform: PlatformStandIn, options: VmOptions = {}): Promise<StartedVm> {
    const { ports: [callerPort, readinessPort, peerPort], release } = await reservePorts(3);
    const addressOf = (port: number) => ({ host: "127.0.0.1", port, availabilityZone: "a" });
    const settings = createVmSettings({
        name,
        callerAddress: addressOf(callerPort!),
        readinessAddress: addressOf(readinessPort!),
        peerAddress: addressOf(peerPort!),
        storeAddress: addressOf(platform.store.port),
        promotionAddress: addressOf(platform.promotionPort),
        graceMilliseconds: 1_000,
        ...options,
    });
    const logLines: Record<string, unknown>[] = [];
    const kernel = createKernel(listVmServices(settings, {
        writeLog: line => logLines.push(JSON.parse(line) as Record<string, unknown>),
        metricsPort: 0,
        readSettings: () => settings,
        onSettingsSignal: () => () => {},
    }));
    await kernel.start();
    return {
        settings,
        kernel,
        logLines,
        isReady: () => queryReadiness(readinessPort!),
        stop: async () => {
            await kernel.stop();
            await release();
        },
    };
}
