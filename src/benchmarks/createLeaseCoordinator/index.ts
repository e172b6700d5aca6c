import { EndpointRole } from "../../endpoints/types/EndpointRole.js";
import { changePrimary } from "../../failover/changePrimary/index.js";
import { createCoordinatedGroup } from "../../failover/createCoordinatedGroup/index.js";
import { createEndpointProbe } from "../../failover/createEndpointProbe/index.js";
import { sendFollowOrders } from "../../failover/sendFollowOrders/index.js";
import type { FailoverDependencies } from "../../failover/types/FailoverDependencies.js";
import { ProbeVerdict } from "../../failover/types/ProbeVerdict.js";
import type { PlatformClient } from "../../objectStore/types/PlatformClient.js";
import type { GroupRecord } from "../../topology/types/GroupRecord.js";

/** Options of `createLeaseCoordinator`. */
interface LeaseCoordinatorOptions {
    readonly platform: PlatformClient;
    readonly leaseMilliseconds: number;
}

/** A coordinator that acts on an expired lease only. */
interface LeaseCoordinator {
    /** The primary under the lease; undefined when the lease has lapsed for its holder. */
    record(): GroupRecord | undefined;
    stop(): Promise<void>;
}

const leaseKey = "leases/stock";

/**
 * Creates the baseline that failover is compared with: the primary holds a lease renewed in the platform's store, and
 * another primary may be promoted only once the lease was not renewed for its whole length.
 *
 * The lease is renewed three times in its length while the primary answers. Fencing and promotion are the product's.
 *
 * @param dependencies Services of the gateway that coordinates.
 * @param options The store and the length of the lease in milliseconds.
 * @returns The coordinator, running.
 *
 * @example
 * const coordinator = createLeaseCoordinator(dependencies, { platform, leaseMilliseconds: 3_000 });
 */
export function createLeaseCoordinator(
    dependencies: FailoverDependencies,
    options: LeaseCoordinatorOptions,
): LeaseCoordinator {
    const { clock, configuration, terms } = dependencies;
    const { platform, leaseMilliseconds } = options;
    const definition = configuration.current().content.databases["stock"]!;
    const probes = new Map(
        Object.entries(definition.endpoints).map(([name, endpoint]) => [
            name,
            createEndpointProbe({ ...endpoint, name }, dependencies, { onChange: () => {} }),
        ]),
    );
    const group = createCoordinatedGroup("stock", probes, dependencies);
    const stopped = new AbortController();
    let renewedAt = -Infinity;
    let seenVersion = 0;
    let seenAt = clock.now();

    async function writeLease(): Promise<void> {
        const stored = await platform.readObject(leaseKey);
        const primary = group.record()?.primary;
        const written = stored === undefined
            ? await platform.createObject(leaseKey, { primary })
            : await platform.updateObject(leaseKey, { primary }, stored.version);
        renewedAt = clock.now();
        seenVersion = written.version;
        seenAt = renewedAt;
    }

    async function renew(): Promise<void> {
        while (!stopped.signal.aborted) {
            const primary = probes.get(group.record()?.primary ?? "");
            if (primary?.observation().verdict === ProbeVerdict.Alive) {
                await writeLease().catch(() => {});
            }
            await clock.sleep(leaseMilliseconds / 3, stopped.signal);
        }
    }

    async function takeOver(): Promise<void> {
        const avoided = new Set([group.record()?.primary ?? ""]);
        await terms.reserve("stock", group.highestTerm());
        const record = await changePrimary(group, { reason: "the lease has expired", avoided });
        if (record !== undefined) {
            await writeLease();
            group.publish(record);
        }
    }

    async function repair(): Promise<void> {
        const record = group.record();
        const detached = [...probes.values()].filter(probe =>
            probe.definition.name !== record?.primary
            && probe.observation().verdict === ProbeVerdict.Alive
            && probe.observation().status?.role === EndpointRole.Detached
        );
        if (record !== undefined) {
            await sendFollowOrders(group, { ...record, endpoints: detached.map(probe => probe.definition.name) });
        }
    }

    async function watch(): Promise<void> {
        while (!stopped.signal.aborted) {
            try {
                const version = (await platform.readObject(leaseKey))?.version ?? 0;
                if (version !== seenVersion) {
                    seenVersion = version;
                    seenAt = clock.now();
                }
                if (version === 0 || clock.now() - seenAt >= leaseMilliseconds) {
                    await takeOver();
                }
            }
            catch {
                // The store is down: nobody may act, and the next look comes soon.
            }
            await repair();
            await clock.sleep(20, stopped.signal);
        }
    }

    const tasks = Promise.all([renew(), watch()]);
    return {
        record: () => clock.now() - renewedAt < leaseMilliseconds ? group.record() : undefined,
        stop: async () => {
            stopped.abort();
            await tasks;
            await Promise.all([...probes.values()].map(probe => probe.stop()));
        },
    };
}
