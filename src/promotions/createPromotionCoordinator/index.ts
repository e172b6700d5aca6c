import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import type { Duty } from "../../duty/types/Duty.js";
import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import type { VmPeer } from "../../duty/types/VmPeer.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import { promotionConstants } from "../constants.js";
import type { createPrimaryChange } from "../createPrimaryChange/index.js";
import { ChangeReason } from "../types/ChangeReason.js";

/** Options of `createPromotionCoordinator`. */
interface PromotionCoordinatorOptions {
    /** Aborted by the stop. */
    readonly end: AbortController;
    readonly clock: Clock;
    readonly directory: Directory;
    readonly primaries: Primaries;
    readonly duty: Duty;
    /** Whether this VM reaches an endpoint. */
    readonly probe: (endpointId: string) => Promise<boolean>;
    /** The other VMs that hold connections to a group's endpoints. */
    readonly connectedVms: (group: string) => readonly VmIdentity[];
    readonly peerOf: (vm: VmIdentity) => VmPeer;
    readonly changePrimary: ReturnType<typeof createPrimaryChange>;
    /** Finds out which of several endpoints that hold themselves for the primary is it. */
    readonly settleDispute: (group: string) => Promise<void>;
    readonly metrics: Pick<Metrics, "countPrimaryChange">;
    readonly log: LogTopic;
}

/** What the holder has seen of one group. */
interface GroupWatch {
    isBusy: boolean;
    missingSince?: number;
}

/**
 * Creates the holder's watch over the primaries: it decides when one has to be replaced.
 *
 * A primary that leaves is replaced at once. One that does not answer is replaced when no other VM reaches it either.
 *
 * @param options Clock, what is known, and how to ask endpoints and VMs.
 * @returns The watch, not yet started.
 *
 * @example
 * await createPromotionCoordinator(options).start();
 */
export function createPromotionCoordinator(options: PromotionCoordinatorOptions) {
    const { clock, directory, primaries, duty, end, log } = options;
    const watches = new Map<string, GroupWatch>();

    async function run(): Promise<void> {
        while (!end.signal.aborted) {
            await clock.sleep(promotionConstants.lookMilliseconds, end.signal);
            if (duty.heldToken() === undefined) {
                watches.clear();
                continue;
            }
            directory.groups().forEach(group => void look(group));
        }
    }

    async function look(group: string): Promise<void> {
        const watch = watchOf(group);
        if (watch.isBusy) {
            return;
        }
        watch.isBusy = true;
        try {
            if (primaries.hasPrimaryConflict(group)) {
                await options.settleDispute(group);
                return;
            }
            const primary = primaries.primaryOf(group);
            const reason = await judge(group, watch, primary);
            if (reason !== undefined) {
                await changePrimary(group, primary, reason);
                watch.missingSince = undefined;
            }
        }
        catch (error) {
            log("primary was not changed", { group, reason: (error as Error).message });
            await clock.sleep(promotionConstants.retryMilliseconds, end.signal);
        }
        finally {
            watch.isBusy = false;
        }
    }

    async function changePrimary(group: string, primary: EndpointRecord | undefined, reason: ChangeReason) {
        try {
            await options.changePrimary(group, primary, reason);
            options.metrics.countPrimaryChange(true);
        }
        catch (error) {
            options.metrics.countPrimaryChange(false);
            throw error;
        }
    }

    function watchOf(group: string): GroupWatch {
        let watch = watches.get(group);
        if (watch === undefined) {
            watch = { isBusy: false };
            watches.set(group, watch);
        }
        return watch;
    }

    async function judge(
        group: string,
        watch: GroupWatch,
        primary: EndpointRecord | undefined,
    ): Promise<ChangeReason | undefined> {
        if (primary === undefined) {
            watch.missingSince ??= clock.now();
            const isLasting = clock.now() - watch.missingSince >= promotionConstants.missingMilliseconds;
            return isLasting ? ChangeReason.Missing : undefined;
        }
        watch.missingSince = undefined;
        if (primary.isLeaving) {
            const hasSuccessor = directory.endpointsOf(group).some(other =>
                other.id !== primary.id && !other.isLeaving
            );
            return hasSuccessor ? ChangeReason.Leaving : undefined;
        }
        return await isReached(group, primary) ? undefined : ChangeReason.Unreachable;
    }

    /** One VM that reaches the primary is enough: its callers are served. */
    async function isReached(group: string, primary: EndpointRecord): Promise<boolean> {
        if (await options.probe(primary.id)) {
            return true;
        }
        const answers = await Promise.all(
            options.connectedVms(group).map(async vm => {
                try {
                    return await options.peerOf(vm).askReached(primary.id) ? vm.name : undefined;
                }
                catch {
                    return undefined;
                }
            }),
        );
        const reachedBy = answers.filter(name => name !== undefined);
        log("other VMs were asked for the primary", { group, endpoint: primary.id, asked: answers.length, reachedBy });
        return reachedBy.length > 0;
    }

    return {
        start: async (): Promise<void> => void run(),
        stop: async (): Promise<void> => end.abort(),
    };
}
