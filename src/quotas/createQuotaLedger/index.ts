import type { Clock } from "../../clock/types/Clock.js";
import type { Quota } from "../../workspaces/types/Quota.js";
import { quotaConstants } from "../constants.js";
import { divideExcess } from "../divideExcess/index.js";
import { findFairShare } from "../findFairShare/index.js";
import type { QuotaDemand } from "../types/QuotaDemand.js";
import type { QuotaExcess } from "../types/QuotaExcess.js";
import type { QuotaGrant } from "../types/QuotaGrant.js";
import type { QuotaLedger } from "../types/QuotaLedger.js";

/** Options of `createQuotaLedger`. */
interface QuotaLedgerOptions {
    /** Source of monotonic time. It may stop while the VM is suspended, which only keeps grants counted longer. */
    readonly clock: Pick<Clock, "now">;
    /** What may be admitted beyond the quota. */
    readonly excess: QuotaExcess;
    /** Time at which the bucket was empty, in milliseconds; it may be in the future. */
    readonly emptyAt: number;
    /** The quota in force at the creation. */
    readonly firstQuota: Quota;
}

/** A grant that its VM may follow. */
interface OutstandingGrant {
    readonly number: number;
    readonly operationsPerSecond: number;
    readonly maximumOperations: number;
    readonly endsAt: number;
}

/** A VM with grants or demand. */
interface Member {
    demandPerSecond: number;
    /** Rate that the VM uses up for sure. */
    wantedPerSecond: number;
    waitingOperations: number;
    /** Operations that the VM should hold beside those for which it waits. */
    wantedOperations: number;
    askedAt: number;
    outstanding: readonly OutstandingGrant[];
    /** Greatest rate of the outstanding grants, in operations per second. */
    countedPerSecond: number;
    /** Most operations that the outstanding grants let the VM hold. */
    countedOperations: number;
}

const millisecondsPerSecond = 1_000;

/**
 * Creates the holder's record of the grants of one workspace: a token bucket of which VMs hold parts.
 *
 * A VM holds at most `maximumOperations` and gains `operationsPerSecond`. The greatest of these that a VM may follow are
 * counted until its grants have ended or were replaced for sure. The rates of all VMs together never exceed the rate of
 * the quota, and what they hold and the bucket never exceed its burst and the part of the excess that covers one
 * operation a VM.
 *
 * @param options Clock, the quota in force, the excess, and when the bucket was empty.
 * @returns The record, without grants.
 *
 * @example
 * const grant = ledger.grant("vm-1", demand, 17, quota);
 */
export function createQuotaLedger(options: QuotaLedgerOptions): QuotaLedger {
    const { clock, excess, emptyAt, firstQuota } = options;
    const members = new Map<string, Member>();
    let bucketOperations = 0;
    let filledAt = emptyAt;
    let lastQuota = firstQuota;
    let prunedAt = -Infinity;

    function grant(vm: string, demand: QuotaDemand, number: number, quota: Quota): QuotaGrant {
        settle(quota);
        const member = memberOf(vm);
        recordDemand(member, demand);
        const asking = [...members.values()].filter(isAsking);
        const wantedPerSecond = keepNearlyEqual(rateOf(member, asking, quota), member.outstanding.at(-1));
        const operationsPerSecond = Math.max(0, Math.min(wantedPerSecond, rateLeft(member, quota)));
        const maximumOperations = Math.max(0, Math.min(capOf(member, asking, quota), capLeft(member, quota)));
        const lacking = Math.max(0, maximumOperations - demand.heldOperations);
        const operations = Math.min(bucketOperations, lacking);
        bucketOperations -= operations;
        addGrant(member, { number, operationsPerSecond, maximumOperations });
        limitBucket(quota);
        return {
            workspace: demand.workspace,
            operations,
            operationsPerSecond,
            maximumOperations,
            quota,
            isLimited: bucketOperations < 1
                && demand.operationsPerSecond > operationsPerSecond
                && sumDemands(asking) > quota.operationsPerSecond,
        };
    }

    function memberOf(vm: string): Member {
        let member = members.get(vm);
        if (member === undefined) {
            member = {
                demandPerSecond: 0,
                wantedPerSecond: 0,
                waitingOperations: 0,
                wantedOperations: 0,
                askedAt: -Infinity,
                outstanding: [],
                countedPerSecond: 0,
                countedOperations: 0,
            };
            members.set(vm, member);
        }
        return member;
    }

    function recordDemand(member: Member, demand: QuotaDemand): void {
        const { deviations, heldMilliseconds } = quotaConstants;
        const { operationsPerSecond, waitingOperations } = demand;
        member.waitingOperations = waitingOperations;
        member.wantedOperations = quotaConstants.heldOperations
            + operationsPerSecond * heldMilliseconds / millisecondsPerSecond;
        member.demandPerSecond = operationsPerSecond;
        member.wantedPerSecond = Math.max(0, operationsPerSecond - deviations * Math.sqrt(operationsPerSecond));
        member.askedAt = clock.now();
    }

    function addGrant(member: Member, grant: Omit<OutstandingGrant, "endsAt">): void {
        const endsAt = clock.now() + quotaConstants.grantMilliseconds;
        setOutstanding(member, [...member.outstanding, { ...grant, endsAt }]);
    }

    /** Fills the bucket with what no VM gained since the last time, and only then removes what has ended. */
    function settle(quota: Quota): void {
        const now = clock.now();
        const elapsedSeconds = Math.max(0, now - filledAt) / millisecondsPerSecond;
        const unsharedPerSecond = Math.min(rateLeft(undefined, quota), rateLeft(undefined, lastQuota));
        bucketOperations += Math.max(0, unsharedPerSecond) * elapsedSeconds;
        filledAt = Math.max(filledAt, now);
        lastQuota = quota;
        prune();
        limitBucket(quota);
    }

    function limitBucket(quota: Quota): void {
        bucketOperations = Math.max(0, Math.min(bucketOperations, roomOf(quota)));
    }

    function roomOf(quota: Quota): number {
        return Math.min(quota.burstOperations, capLeft(undefined, quota));
    }

    function prune(): void {
        const now = clock.now();
        if (now - prunedAt < quotaConstants.pruneMilliseconds) {
            return;
        }
        prunedAt = now;
        for (const [vm, member] of members) {
            setOutstanding(member, member.outstanding.filter(({ endsAt }) => now < endsAt));
            if (member.outstanding.length === 0 && !isAsking(member)) {
                members.delete(vm);
            }
        }
    }

    /** The rate that is left beside the grants of the other VMs. */
    function rateLeft(member: Member | undefined, quota: Quota): number {
        let left = quota.operationsPerSecond + (member?.countedPerSecond ?? 0);
        for (const { countedPerSecond } of members.values()) {
            left -= countedPerSecond;
        }
        return left;
    }

    /** The operations that may be held beside the grants of the other VMs. */
    function capLeft(member: Member | undefined, quota: Quota): number {
        let left = holdable(quota) + (member?.countedOperations ?? 0);
        for (const { countedOperations } of members.values()) {
            left -= countedOperations;
        }
        return left;
    }

    /** The operations that the bucket and all VMs may hold together. */
    function holdable(quota: Quota): number {
        return quota.burstOperations + divideExcess(quota, excess).heldOperations;
    }

    function isAsking({ askedAt }: Member): boolean {
        return clock.now() - askedAt < quotaConstants.askingMilliseconds;
    }

    /** The part of the rate that a VM should get: what it uses up for sure, and headroom while the bucket is full. */
    function rateOf(member: Member, asking: readonly Member[], quota: Quota): number {
        const wanted = asking.map(({ wantedPerSecond }) => wantedPerSecond);
        const share = findFairShare(
            quota.operationsPerSecond * quotaConstants.rateShare,
            wanted,
            member.wantedPerSecond,
        );
        const demanded = sumDemands(asking);
        const part = demanded === 0 ? 1 / asking.length : member.demandPerSecond / demanded;
        return share + headroomOf(quota, wanted) * (1 / asking.length + part) / 2;
    }

    /** The rate that is spread beyond the demands: as much of what is left as the bucket is full. */
    function headroomOf(quota: Quota, wanted: readonly number[]): number {
        const { emptyShare, headroomShare } = quotaConstants;
        const room = roomOf(quota);
        const fullShare = room <= 0 ? 0 : bucketOperations / room;
        if (fullShare <= emptyShare) {
            return 0;
        }
        const left = quota.operationsPerSecond * headroomShare - wanted.reduce((sum, rate) => sum + rate, 0);
        return Math.max(0, left) * (fullShare - emptyShare) / (1 - emptyShare);
    }

    /** The operations that a VM should be able to hold: one at least, so that it can start any. */
    function capOf(member: Member, asking: readonly Member[], quota: Quota): number {
        const wanted = asking.map(({ wantedOperations }) => wantedOperations);
        const held = findFairShare(holdable(quota) * quotaConstants.heldShare, wanted, member.wantedOperations);
        return Math.max(1, held) + Math.min(member.waitingOperations, bucketOperations);
    }

    return {
        grant,
        continueGrant: (vm, { operationsPerSecond, maximumOperations }, number) =>
            addGrant(memberOf(vm), { number, operationsPerSecond, maximumOperations }),
        confirm: (vm, appliedNumber) => {
            const member = members.get(vm);
            if (member !== undefined) {
                settle(lastQuota);
                setOutstanding(member, member.outstanding.filter(({ number }) => number === appliedNumber));
            }
        },
        startFilling: at => {
            filledAt = Math.min(filledAt, at);
        },
        isForgettable: () => {
            settle(lastQuota);
            return members.size === 0 && bucketOperations >= lastQuota.burstOperations;
        },
    };
}

function sumDemands(asking: readonly Member[]): number {
    return asking.reduce((sum, { demandPerSecond }) => sum + demandPerSecond, 0);
}

/** Sets the grants that a VM may follow, and counts the greatest of them. */
function setOutstanding(member: Member, outstanding: readonly OutstandingGrant[]): void {
    member.outstanding = outstanding;
    member.countedPerSecond = 0;
    member.countedOperations = 0;
    for (const { operationsPerSecond, maximumOperations } of outstanding) {
        member.countedPerSecond = Math.max(member.countedPerSecond, operationsPerSecond);
        member.countedOperations = Math.max(member.countedOperations, maximumOperations);
    }
}

/** Keeps the rate of the last grant where the new one differs little, since a change is counted twice for a while. */
function keepNearlyEqual(operationsPerSecond: number, last: OutstandingGrant | undefined): number {
    const isNearlyEqual = last !== undefined
        && Math.abs(last.operationsPerSecond - operationsPerSecond) < operationsPerSecond * quotaConstants.steadyShare;
    return isNearlyEqual ? last.operationsPerSecond : operationsPerSecond;
}
