import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createSystemClock } from "../../clock/createSystemClock/index.js";
import { createPlatformStandIn } from "../../platform/standIns/createPlatformStandIn/index.js";
import { reservePorts } from "../../site/reservePorts/index.js";
import { waitForValue } from "../../site/waitForValue/index.js";
import { soakConstants } from "../../soak/constants.js";
import { createSoakRoutes } from "../../soak/createSoakRoutes/index.js";
import { startSoakVm } from "../../soak/startSoakVm/index.js";
import { hostileCallerConstants } from "../constants.js";
import type { HostileSite } from "../types/HostileSite.js";
import type { ProcessWatch } from "../types/ProcessWatch.js";
import { watchProcess } from "../watchProcess/index.js";

const portsPerVm = 3;

/**
 * Starts the program of a VM with lowered limits as a process of its own, against the platform's stand-in.
 *
 * @returns The site, whose VM is ready.
 * @throws TarragonpostError of kind `DeadlineExceeded` when the VM does not become ready.
 *
 * @example
 * const site = await startHostileSite();
 * try { await checkOrdinaryCaller(site); } finally { await site.stop(); }
 */
export async function startHostileSite(): Promise<HostileSite> {
    const { memoryMegabytes, heapMegabytes, maximumDescriptors, sessionBytes, answerBytes, progressMilliseconds } =
        hostileCallerConstants;
    const { group, zones, promotionMilliseconds } = soakConstants;
    const platform = await createPlatformStandIn({ group, zones, promotionMilliseconds });
    platform.configure(1, createSoakRoutes(0));
    const folder = await mkdtemp(join(tmpdir(), "tarragonpost-hostile-"));
    const { ports, release } = await reservePorts(portsPerVm);
    const vm = await startSoakVm({
        index: 0,
        ports,
        platform,
        folder,
        clock: createSystemClock(),
        changes: {
            memory: { megabytes: memoryMegabytes, callerShare: 0.1, connectionBytes: 524_288 },
            callerLimits: { maximumDescriptors, sessionBytes, answerBytes, progressMilliseconds },
        },
        runtimeArguments: [`--max-old-space-size=${heapMegabytes}`],
    });
    let watch: ProcessWatch | undefined;

    async function stop(): Promise<void> {
        watch?.stop();
        await vm.terminate("SIGTERM");
        [vm.callerLink, vm.storeLink].forEach(link => link.stop());
        platform.stop();
        await rm(folder, { recursive: true, force: true });
        await release();
    }

    try {
        await waitForValue(
            "the VM is ready",
            hostileCallerConstants.startTimeoutMilliseconds,
            async () => await vm.isReady() || !vm.isRunning() ? true : undefined,
        );
        watch = watchProcess(vm.processId()!);
    }
    catch (error) {
        await stop();
        throw error;
    }
    return { platform, vm, watch, stop };
}
