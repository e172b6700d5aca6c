import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { EndpointRecord } from "../../directory/types/EndpointRecord.js";
import { AnnouncementPhase } from "../../duty/types/AnnouncementPhase.js";
import type { Duty } from "../../duty/types/Duty.js";
import type { VmIdentity } from "../../duty/types/VmIdentity.js";
import type { VmPeer } from "../../duty/types/VmPeer.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { Metrics } from "../../metrics/types/Metrics.js";
import type { Primaries } from "../../primaries/types/Primaries.js";
import { promotionConstants } from "../constants.js";
import type { createPrimaryChange } from "../createPrimaryChange/index.js";
import { ChangeReason } from "../types/ChangeReason.js";
import type { GroupMembers } from "../types/GroupMembers.js";
import { PrimaryDecision } from "../types/PrimaryDecision.js";
import type { PromotionCoordinator } from "../types/PromotionCoordinator.js";
import type { SharedEndpoints } from "../types/SharedEndpoints.js";

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
    readonly members: Pick<GroupMembers, "update">;
    readonly sharedEndpoints: Pick<SharedEndpoints, "update">;
    readonly metrics: Pick<Metrics, "countPrimaryChange">;
    readonly log: LogTopic;
}

/** State of the checks of one group. */
interface GroupWatch {
    isBusy: boolean;
    /** Whether this holder has announced the primary, or that it is being changed. */
    isConfirmed: boolean;
    /** When the group was first seen without a claimant by a new holder. */
    unclaimedSince?: number;
    missingSince?: number;
    /** When the group was last seen without a known primary. */
    missingAt?: number;
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
export function createPromotionCoordinator(options: PromotionCoordinatorOptions): PromotionCoordinator {
    const { clock, directory, primaries, duty, end, log } = options;
    const watches = new Map<string, GroupWatch>();
    let watchedToken: number | undefined;
    /** Whether the holder with this token has announced the primary of each group, or need not. */
    let hasConfirmedAll = false;
    let isLeaving = false;
    /** Number of changes under way. */
    let changeCount = 0;

    async function runCheckLoop(): Promise<void> {
        while (!end.signal.aborted) {
            await clock.sleep(promotionConstants.checkIntervalMilliseconds, end.signal);
            const token = duty.heldToken();
            if (token !== watchedToken) {
                watches.clear();
                watchedToken = token;
                hasConfirmedAll = duty.isGranting();
            }
            if (token !== undefined) {
                checkGroups();
            }
        }
    }

    /** Checks all groups. A new holder lets leases vouch for the primaries once it has announced each of them. */
    function checkGroups(): void {
        const groups = directory.groups();
        options.sharedEndpoints.update();
        groups.forEach(group => void checkGroup(group));
        if (!hasConfirmedAll && groups.length > 0 && groups.every(group => watchOf(group).isConfirmed)) {
            hasConfirmedAll = true;
            log("primaries are announced; leases may be granted", { groups: groups.length, token: watchedToken });
            duty.startGranting();
        }
    }

    async function checkGroup(group: string): Promise<void> {
        const watch = watchOf(group);
        if (watch.isBusy) {
            return;
        }
        watch.isBusy = true;
        options.members.update(group);
        try {
            if (primaries.hasPrimaryConflict(group) || primaries.isChangeUnfinished(group)) {
                if (!isSettlementDue(group, watch) || await settle(group, watch)) {
                    return;
                }
            }
            watch.unfinishedSince = undefined;
            if (!await replaceFailedPrimary(group, watch) && isUnconfirmed(watch) && !await settle(group, watch)) {
                await announceUnclaimed(group, watch);
                await clock.sleep(promotionConstants.retryMilliseconds, end.signal);
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

    /** Whether this VM is a new holder that has not announced the primary yet. */
    function isUnconfirmed(watch: GroupWatch): boolean {
        return !hasConfirmedAll && !watch.isConfirmed;
    }

    /** Announces a group without a claimant as being changed, so that the other groups need not wait for its primary. */
    async function announceUnclaimed(group: string, watch: GroupWatch): Promise<void> {
        watch.unclaimedSince ??= clock.now();
        const token = duty.heldToken();
        if (token !== undefined && clock.now() - watch.unclaimedSince >= promotionConstants.settlementMilliseconds) {
            await duty.announce({ group, phase: AnnouncementPhase.Begun, term: primaries.termOf(group) + 1 }, token);
            watch.isConfirmed = true;
        }
    }

    /** Changes the primary if it has to be replaced; returns whether it had to. */
    async function replaceFailedPrimary(group: string, watch: GroupWatch): Promise<boolean> {
        const primary = primaries.primaryOf(group);
        const reason = await findChangeReason(group, watch, primary);
        if (reason === undefined || isLeaving) {
            return false;
        }
        await changePrimary(group, watch, primary, reason);
        watch.missingSince = undefined;
        return true;
    }

    /**
     * Whether the primary may be decided: at once, unless the end of a change is unknown, which has to last so long that an
     * order to promote has taken effect, or will not.
     */
    function isSettlementDue(group: string, watch: GroupWatch): boolean {
        if (!primaries.isChangeUnfinished(group)) {
            return true;
        }
        watch.unfinishedSince ??= clock.now();
        return clock.now() - watch.unfinishedSince >= promotionConstants.settlementMilliseconds;
    }

    /**
     * Has one endpoint announced as the primary. While another one may lead, it takes a promotion, which starts a term
     * above all others. Returns false when no endpoint claims to be the primary.
     */
    async function settle(group: string, watch: GroupWatch): Promise<boolean> {
        const decision = await options.decidePrimary(group);
        if (decision === PrimaryDecision.Undecided && isLeaving) {
            return false;
        }
        if (decision === PrimaryDecision.Undecided) {
            await changePrimary(group, watch, undefined, ChangeReason.Undecided);
        }
        if (decision === PrimaryDecision.NoPrimary) {
            return false;
        }
        watch.isConfirmed = true;
        watch.unfinishedSince = undefined;
        return true;
    }

    async function changePrimary(
        group: string,
        watch: GroupWatch,
        primary: EndpointRecord | undefined,
        reason: ChangeReason,
    ): Promise<void> {
        // Until its end is announced, no lease vouches for a primary of the group.
        watch.isConfirmed = true;
        changeCount += 1;
        try {
            await options.changePrimary(group, primary, reason);
            options.metrics.countPrimaryChange(true);
        }
        catch (error) {
            options.metrics.countPrimaryChange(false);
            throw error;
        }
        finally {
            changeCount -= 1;
        }
    }

    function watchOf(group: string): GroupWatch {
        let watch = watches.get(group);
        if (watch === undefined) {
            watch = { isBusy: false, isConfirmed: false };
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
            watch.missingAt = clock.now();
            const isMissingTooLong = clock.now() - watch.missingSince >= promotionConstants.missingPrimaryMilliseconds;
            return isMissingTooLong ? ChangeReason.Missing : undefined;
        }
        // An endpoint that refused to be the primary counts as the announced one again until its next answer.
        if (clock.now() - (watch.missingAt ?? -Infinity) >= promotionConstants.missingPrimaryMilliseconds) {
            watch.missingSince = undefined;
        }
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
        leave: () => {
            isLeaving = true;
        },
        isChanging: () => changeCount > 0,
        hasUnknownEnds: () => directory.groups().some(primaries.isChangeUnfinished),
        start: async (): Promise<void> => void runCheckLoop(),
        stop: async (): Promise<void> => end.abort(),
    };
}
