import type { Clock } from "../../clock/types/Clock.js";
import type { PlatformClient } from "../../platform/types/PlatformClient.js";
import type { VmRecord } from "../../platform/types/VmRecord.js";
import { VmState } from "../../platform/types/VmState.js";
import type { GatewaySettings } from "../../settings/types/GatewaySettings.js";
import type { MembershipService } from "../types/MembershipService.js";
import type { PeerRecord } from "../types/PeerRecord.js";
import { PeerState } from "../types/PeerState.js";

const listIntervalMilliseconds = 500;

const states: Readonly<Record<VmState, PeerState>> = {
    [VmState.Live]: PeerState.Live,
    [VmState.Leaving]: PeerState.Leaving,
};

/**
 * Creates a membership that believes the platform's list of VMs.
 *
 * @param settings Settings of this gateway.
 * @param platform The platform's service.
 * @param clock Source of time.
 * @returns The membership service.
 *
 * @example
 * const membership = createListedMembership(settings, platform, clock);
 */
export function createListedMembership(
    settings: GatewaySettings,
    platform: PlatformClient,
    clock: Clock,
): MembershipService {
    const { availabilityZone, region, listen } = settings;
    const listeners = new Set<() => void>();
    const stopping = new AbortController();
    const self: PeerRecord = {
        name: `${listen.host}:${listen.port}`,
        ...listen,
        availabilityZone,
        region,
        state: PeerState.Live,
        incarnation: 0,
    };
    let listed: readonly PeerRecord[] = [self];
    let polling = Promise.resolve();

    function toPeer(vm: VmRecord): PeerRecord {
        const { host, gatewayPort: port } = vm;
        return {
            name: `${host}:${port}`,
            host,
            port,
            availabilityZone: vm.availabilityZone,
            region: vm.region,
            state: states[vm.state],
            incarnation: 0,
        };
    }

    async function poll(): Promise<void> {
        while (!stopping.signal.aborted) {
            try {
                const peers = (await platform.listVms()).map(toPeer);
                if (JSON.stringify(peers) !== JSON.stringify(listed)) {
                    listed = peers;
                    for (const listener of listeners) {
                        listener();
                    }
                }
            }
            catch {
                // The last list stays in use while the platform is away.
            }
            await clock.sleep(listIntervalMilliseconds, stopping.signal);
        }
    }

    return {
        self,
        peers: () => listed,
        onChange: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        leave: async () => {},
        start: async () => {
            polling = poll();
        },
        stop: async () => {
            stopping.abort();
            await polling;
        },
    };
}
