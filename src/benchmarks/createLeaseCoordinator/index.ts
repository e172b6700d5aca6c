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

/** A coordinator that promotes another primary only after the lease has expired. */
interface LeaseCoordinator {
    /** Record of the primary that holds the lease; undefined when the lease has expired for its holder. */
    record(): GroupRecord | undefined;
    stop(): Promise<void>;
}

const leaseKey = "leases/stock";

/**
 * Creates the baseline for the failover benchmark: the primary holds a lease that is renewed in the platform's store,
 * and another primary may be promoted only when the lease has not been renewed for its whole duration.
 *
 * The lease is renewed three times in its duration while the primary answers. Fencing and promotion use the code of the
 * failover service.
 *
 * @param dependencies Services of the coordinating gateway.
 * @param options The store and the duration of the lease in milliseconds.
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
    const closeController = new AbortController();
    let renewedAt = -Infinity;
    let knownVersion = 0;
    let versionSeenAt = clock.now();

    async function writeLease(): Promise<void> {
        const stored = await platform.readObject(leaseKey);
        const primary = group.record()?.primary;
        const written = stored === undefined
            ? await platform.createObject(leaseKey, { primary })
            : await platform.updateObject(leaseKey, { primary }, stored.version);
        renewedAt = clock.now();
        knownVersion = written.version;
        versionSeenAt = renewedAt;
    }

    async function runRenewalLoop(): Promise<void> {
        while (!closeController.signal.aborted) {
            const primary = probes.get(group.record()?.primary ?? "");
            if (primary?.observation().verdict === ProbeVerdict.Alive) {
                await writeLease().catch(() => {});
            }
            await clock.sleep(leaseMilliseconds / 3, closeController.signal);
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

    async function repairDetached(): Promise<void> {
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

    async function runWatchLoop(): Promise<void> {
        while (!closeController.signal.aborted) {
            try {
                const version = (await platform.readObject(leaseKey))?.version ?? 0;
                if (version !== knownVersion) {
                    knownVersion = version;
                    versionSeenAt = clock.now();
                }
                if (version === 0 || clock.now() - versionSeenAt >= leaseMilliseconds) {
                    await takeOver();
                }
            }
            catch {
                // The store is unreachable: no promotion is allowed, and the next iteration retries.
            }
            await repairDetached();
            await clock.sleep(20, closeController.signal);
        }
    }

    const tasks = Promise.all([runRenewalLoop(), runWatchLoop()]);
    return {
        record: () => clock.now() - renewedAt < leaseMilliseconds ? group.record() : undefined,
        stop: async () => {
            closeController.abort();
            await tasks;
            await Promise.all([...probes.values()].map(probe => probe.stop()));
        },
    };
}
