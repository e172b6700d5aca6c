import type { VmSettings } from "../../vm/types/VmSettings.js";

/**
 * Creates settings of a VM for tests, with addresses on the loopback interface.
 *
 * @param changes Settings that differ from the defaults.
 * @returns The settings.
 *
 * @example
 * writeFileSync(file, encodeVmSettings(createVmSettings({ name: "vm-2" })));
 */
export function createVmSettings(changes: Partial<VmSettings> = {}): VmSettings {
    const addressOf = (port: number) => ({ host: "127.0.0.1", port, availabilityZone: "a" });
    return {
        name: "vm-1",
        availabilityZone: "a",
        region: "north",
        regionsByZone: { a: "north", b: "north", c: "south" },
        isFirstStart: true,
        callerAddress: addressOf(1),
        readinessAddress: addressOf(2),
        peerAddress: addressOf(3),
        storeAddress: addressOf(4),
        promotionAddress: addressOf(5),
        capacity: 1,
        memory: { megabytes: 350, callerShare: 0.1, connectionBytes: 524_288 },
        callerLimits: {
            maximumDescriptors: 65_536,
            sessionBytes: 2_097_152,
            answerBytes: 16_777_216,
            progressMilliseconds: 60_000,
        },
        configurationMilliseconds: 4_000,
        graceMilliseconds: 6_000,
        quotaExcess: { windowMilliseconds: 5_000, share: 0.1, operations: 20 },
        ...changes,
    };
}
