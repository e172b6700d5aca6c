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
import { PrimaryDecision } from "../types/PrimaryDecision.js";

/** Options of `createPromotionCoordinator`. */
interface PromotionCoordinatorOptions {
    /** Aborted by the stop. */
    readonly end: AbortController;
    readonly clock: Clock;
    readonly directory: Directory;
    readonly primaries: Primaries;
    readonly duty: Duty;
    /** Determines whether this VM can reach an endpoint. */
    readonly probe: (endpointId: string) => Promise<boolean>;
    /** The other VMs that hold connections to a group's endpoints. */
    readonly connectedVms: (group: string) => readonly VmIdentity[];
    readonly peerOf: (vm: VmIdentity) => VmPeer;
    readonly changePrimary: ReturnType<typeof createPrimaryChange>;
    /** Decides which endpoint is the primary when several claim to be it, or when the end of a change is unknown. */
    readonly decidePrimary: (group: string) => Promise<PrimaryDecision>;
    readonly metrics: Pick<Metrics, "countPrimaryChange">;
    readonly log: LogTopic;
}

/** State of the checks of one group. */
interface GroupWatch {
    isBusy: boolean;
    missingSince?: number;
    /** When the group was first seen with a change whose end is unknown. */
    unfinishedSince?: number;
}

/**
 * Creates the coordinator with which the holder of the failover duty checks the primaries and replaces failed ones.
 *
 * A primary that is leaving is replaced at once. One that does not answer is replaced when no other VM can reach it
 * either.
 *
 * @param options Clock, known state, and the means to query endpoints and VMs.
 * @returns The coordinator, not started yet.
 *
 * @example
 * await createPromotionCoordinator(options).start();
 */
export function createPromotionCoordinator(options: PromotionCoordinatorOptions) {
    const { clock, directory, primaries, duty, end, log } = options;
    const watches = new Map<string, GroupWatch>();

    async function runCheckLoop(): Promise<void> {
        while (!end.signal.aborted) {
            await clock.sleep(promotionConstants.checkIntervalMilliseconds, end.signal);
            if (duty.heldToken() === undefined) {
                watches.clear();
                continue;
            }
            directory.groups().forEach(group => void checkGroup(group));
        }
    }

    async function checkGroup(group: string): Promise<void> {
        const watch = watchOf(group);
        if (watch.isBusy) {
            return;
        }
        watch.isBusy = true;
        try {
            const isUnfinished = primaries.isChangeUnfinished(group);
            if (primaries.hasPrimaryConflict(group) || isUnfinished) {
                if (isUnfinished && !isSettlementDue(watch) || await settle(group)) {
                    return;
                }
            }
            watch.unfinishedSince = undefined;
            const primary = primaries.primaryOf(group);
            const reason = await findChangeReason(group, watch, primary);
            if (reason !== undefined) {
                await changePrimary(group, primary, reason);
                watch.missingSince = undefined;
            }
        }
        catch (error) {
            log("check of the primary or its change failed; retrying", { group, reason: (error as Error).message });
            await clock.sleep(promotionConstants.retryMilliseconds, end.signal);
        }
        finally {
            watch.isBusy = false;
        }
    }

    /** Whether a change whose end is unknown has lasted so long that an order to promote has taken effect, or will not. */
    function isSettlementDue(watch: GroupWatch): boolean {
        watch.unfinishedSince ??= clock.now();
        return clock.now() - watch.unfinishedSince >= promotionConstants.settlementMilliseconds;
    }

    /**
     * Has one endpoint announced as the primary. While another one may lead, it takes a promotion, which starts a term
     * above all others. Returns false when no endpoint claims to be the primary.
     */
    async function settle(group: string): Promise<boolean> {
        const decision = await options.decidePrimary(group);
        if (decision === PrimaryDecision.Undecided) {
            await changePrimary(group, undefined, ChangeReason.Undecided);
        }
        return decision !== PrimaryDecision.NoPrimary;
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

    async function findChangeReason(
        group: string,
        watch: GroupWatch,
        primary: EndpointRecord | undefined,
    ): Promise<ChangeReason | undefined> {
        if (primary === undefined) {
            watch.missingSince ??= clock.now();
            const isMissingTooLong = clock.now() - watch.missingSince >= promotionConstants.missingPrimaryMilliseconds;
            return isMissingTooLong ? ChangeReason.Missing : undefined;
        }
        watch.missingSince = undefined;
        if (primary.isLeaving) {
            const hasSuccessor = directory.endpointsOf(group).some(other =>
                other.id !== primary.id && !other.isLeaving
            );
            return hasSuccessor ? ChangeReason.Leaving : undefined;
        }
        return await isReachable(group, primary) ? undefined : ChangeReason.Unreachable;
    }

    /** One VM that can reach the primary is enough, because its callers are served. */
    async function isReachable(group: string, primary: EndpointRecord): Promise<boolean> {
        if (await options.probe(primary.id)) {
            return true;
        }
        const answers = await Promise.all(
            options.connectedVms(group).map(async vm => {
                try {
                    return await options.peerOf(vm).queryReachability(primary.id) ? vm.name : undefined;
                }
                catch {
                    return undefined;
                }
            }),
        );
        const reachableFrom = answers.filter(name => name !== undefined);
        log("other VMs were queried whether they can reach the primary", {
            group,
            endpoint: primary.id,
            queried: answers.length,
            reachableFrom,
        });
        return reachableFrom.length > 0;
    }

    return {
        start: async (): Promise<void> => void runCheckLoop(),
        stop: async (): Promise<void> => end.abort(),
    };
}
