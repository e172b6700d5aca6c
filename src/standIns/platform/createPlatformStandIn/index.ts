import type { AddressInfo } from "node:net";
import { createCallCounts } from "../createCallCounts/index.js";
import { createNetworkState } from "../createNetworkState/index.js";
import { createObjectStore } from "../createObjectStore/index.js";
import { createPlatformAdmin } from "../createPlatformAdmin/index.js";
import { createPlatformServer } from "../createPlatformServer/index.js";
import { createVmList } from "../createVmList/index.js";
import { serveNetworkState } from "../serveNetworkState/index.js";
import { OutageKind } from "../types/OutageKind.js";
import type { PlatformCore } from "../types/PlatformCore.js";
import type { PlatformStandIn } from "../types/PlatformStandIn.js";
import type { PlatformStandInSettings } from "../types/PlatformStandInSettings.js";

/**
 * Creates the stand-in of the platform's service, which also publishes the emulated network.
 *
 * @param settings Settings; port 0 selects a free port.
 * @returns The stand-in, not yet listening.
 *
 * @example
 * const platform = createPlatformStandIn(settings);
 * await platform.start();
 */
export function createPlatformStandIn(settings: PlatformStandInSettings): PlatformStandIn {
    const network = createNetworkState(settings.links);
    const core: PlatformCore = {
        store: createObjectStore(),
        vms: createVmList(settings.vms, () => performance.now()),
        counts: createCallCounts(),
        switches: {
            outage: OutageKind.None,
            slowMilliseconds: 0,
            lostAnswers: 0,
            lostAnswerPrefix: "",
            vmListLagMilliseconds: settings.vmListLagMilliseconds,
        },
        switchListeners: new Set(),
    };
    const server = createPlatformServer(core);
    const admin = createPlatformAdmin(core, network);
    let networkServer: Awaited<ReturnType<typeof serveNetworkState>> | undefined;

    async function start(): Promise<void> {
        networkServer = await serveNetworkState(network, settings.network);
        await admin.listen(settings.admin);
        await server.listen(settings.listen);
    }

    async function stop(): Promise<void> {
        await server.close();
        await admin.close();
        await networkServer?.stop();
    }

    return {
        core,
        network,
        port: () => (server.server.address() as AddressInfo).port,
        adminPort: () => (admin.server.address() as AddressInfo).port,
        networkPort: () => networkServer?.port() ?? settings.network.port,
        start,
        stop,
    };
}
