import { stringify } from "smol-toml";
import type { Address } from "../../../network/types/Address.js";
import type { VmSettings } from "../../../vm/types/VmSettings.js";

const millisecondsPerSecond = 1_000;

/**
 * Encodes the settings of a VM's process in the format of the platform's settings file.
 *
 * @param settings The settings.
 * @returns The text of the file.
 *
 * @example
 * await writeFile("vm-1.toml", encodeVmSettings(settings));
 */
export function encodeVmSettings(settings: VmSettings): string {
    return stringify({
        nodeName: settings.name,
        zone: settings.availabilityZone,
        region: settings.region,
        zones: settings.regionsByZone,
        bootstrap: settings.isFirstStart,
        listen: {
            front: formatAddress(settings.callerAddress),
            ready: formatAddress(settings.readinessAddress),
            control: formatAddress(settings.peerAddress),
        },
        limits: {
            cpuShare: settings.capacity,
            cores: 1,
            memoryMb: settings.memory.megabytes,
            maxFds: settings.callerLimits.maximumDescriptors,
        },
        callerLimits: {
            sessionBytes: settings.callerLimits.sessionBytes,
            answerBytes: settings.callerLimits.answerBytes,
            progressMs: settings.callerLimits.progressMilliseconds,
        },
        callerMemory: {
            share: settings.memory.callerShare,
            connectionBytes: settings.memory.connectionBytes,
        },
        bounds: {
            graceS: settings.graceMilliseconds / millisecondsPerSecond,
            configApplyMs: settings.configurationMilliseconds,
            quotaWindowS: settings.quotaExcess.windowMilliseconds / millisecondsPerSecond,
            quotaOver: settings.quotaExcess.share,
            quotaSlack: settings.quotaExcess.operations,
        },
        platform: { addr: formatAddress(settings.storeAddress) },
        cloudApi: { addr: formatAddress(settings.promotionAddress) },
    });
}

function formatAddress({ host, port }: Address): string {
    return `${host}:${port}`;
}
