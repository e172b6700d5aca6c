import { startElapsedTimer } from "../../clock/startElapsedTimer/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { RecordStore } from "../../directory/types/RecordStore.js";
import type { StoreFreshness } from "../../directory/types/StoreFreshness.js";
import { toTypedError } from "../../errors/toTypedError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { QuotaExchange } from "../../quotas/types/QuotaExchange.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { dutyConstants } from "../constants.js";
import { createAnnouncementDelivery } from "../createAnnouncementDelivery/index.js";
import { createAnnouncements } from "../createAnnouncements/index.js";
import { createFleetView } from "../createFleetView/index.js";
import { createGrantedLeases } from "../createGrantedLeases/index.js";
import { createHandOver } from "../createHandOver/index.js";
import { createHolderContact } from "../createHolderContact/index.js";
import { createHolderVerification } from "../createHolderVerification/index.js";
import { createKnownHolder } from "../createKnownHolder/index.js";
import { createLease } from "../createLease/index.js";
import { createRelayedMembers } from "../createRelayedMembers/index.js";
import { createRenewalExchange } from "../createRenewalExchange/index.js";
import { createReportedVersions } from "../createReportedVersions/index.js";
import { createTakeover } from "../createTakeover/index.js";
import { createVmList } from "../createVmList/index.js";
import { findAnsweredHolder } from "../findAnsweredHolder/index.js";
import { readOrCreateRecord } from "../readOrCreateRecord/index.js";
import { readRecordedHolder } from "../readRecordedHolder/index.js";
import type { Announcement } from "../types/Announcement.js";
import type { Duty } from "../types/Duty.js";
import type { DutyHolder } from "../types/DutyHolder.js";
import type { HolderChange } from "../types/HolderChange.js";
import { Predecessor } from "../types/Predecessor.js";
import type { Renewal } from "../types/Renewal.js";
import type { RenewalAnswer } from "../types/RenewalAnswer.js";
import type { VmIdentity } from "../types/VmIdentity.js";
import type { VmPeer } from "../types/VmPeer.js";

/** Options of `createDuty`. */
interface DutyOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly records: RecordStore;
    readonly directory: Directory;
    /** Freshness of the directory. */
    readonly freshness: StoreFreshness;
    /** This VM. */
    readonly self: VmIdentity;
    /** Whether the whole installation starts for the first time, so that there was no holder before. */
    readonly isFirstStart: boolean;
    /** Returns the client for calls to another VM. */
    readonly peerOf: (vm: VmIdentity) => VmPeer;
    /** Called with each new announcement. */
    readonly onAnnouncement: (announcement: Announcement) => void;
    readonly quotas?: QuotaExchange;
    readonly log: LogTopic;
}

const unknownVms: readonly VmIdentity[] = [];

/**
 * Creates a VM's part in the failover duty: its holder is the only VM that may change primaries.
 *
 * One object of the store records the holder; a VM that replaces it at its revision is the holder. The version of the
 * record, era before revision, is the fencing token, which rises also when the store is restored from a copy. VMs that
 * hold connections to endpoints need a lease, and send the holder several renewals a second. The others send fewer, to a
 * relay: a host of their zone. A host whose renewals are not answered, and that finds no other host in contact with the
 * holder, takes over; any other VM does so only much later. The holder verifies itself before each order.
 *
 * @param options Clock, store, this VM and clients for calls to other VMs.
 * @returns The duty, not started yet.
 *
 * @example
 * if (duty.heldToken() !== undefined) { await changePrimary(group); }
 */
export function createDuty(options: DutyOptions): Duty {
    const { clock, random, records, self, log } = options;
    const end = new AbortController();
    const vms = createVmList(clock);
    const view = createFleetView(self, vms);
    const announcements = createAnnouncements(options.onAnnouncement, log);
    const reports = createReportedVersions(clock);
    const members = createRelayedMembers(clock);
    const exchange = createRenewalExchange({ ...options, vms, members, reports, announcements });
    const attemptTakeover = createTakeover({ ...options, view, signal: end.signal });
    const known = createKnownHolder(self, handleNewHolder, log);
    const { heldToken } = known;
    const grantedLeases = createGrantedLeases(clock, options.quotas?.startGranting);
    const lease = createLease(log);
    const contact = createHolderContact();
    const verification = createHolderVerification({
        ...options,
        contact,
        vms,
        view,
        heldToken,
        applyHolder: known.apply,
        onRecordMissing: () => {
            isRecordMissing = true;
        },
    });
    const delivery = createAnnouncementDelivery({ ...options, announcements, leases: grantedLeases, view, heldToken });
    const handOver = createHandOver({ ...options, known, vms, view, leases: grantedLeases, signal: end.signal });
    /** When the last renewal was sent that the holder answered. */
    let holderContactAt = -Infinity;
    const startedAt = clock.now();
    /** When the last renewal was sent that the holder or a relay answered. */
    let answeredAt = startedAt;
    let failedRenewals = 0;
    let isRecordMissing = false;
    let isLeaving = false;

    function handleNewHolder({ wasSelf, isSelf, token, predecessor }: HolderChange): void {
        failedRenewals = 0;
        if (!isSelf) {
            return;
        }
        announcements.startToken(token);
        vms.startToken(token);
        // None of the VMs with which this one was in contact throughout can have been the holder meanwhile.
        const hasStayed = wasSelf && verification.isInContactWithAll();
        if (predecessor !== Predecessor.None && !hasStayed) {
            grantedLeases.startHolding(predecessor);
            verification.startHolding();
            reports.startHolding();
        }
    }

    async function runRenewalLoop(): Promise<void> {
        await clock.sleep(random.next() * dutyConstants.startSpreadMilliseconds, end.signal);
        while (!end.signal.aborted) {
            const pause = await runIteration().catch((error: unknown) => {
                log("iteration of the failover duty failed; retrying", { reason: (error as Error).message });
                return dutyConstants.retryMilliseconds;
            });
            await clock.sleep(pause, end.signal);
        }
    }

    /** Returns the pause before the next iteration, in milliseconds. */
    async function runIteration(): Promise<number> {
        const holder = known.holder();
        if (holder === undefined) {
            await readOrCreateHolder();
            return 0;
        }
        if (heldToken() !== undefined) {
            await verification.verify();
            if (isRecordMissing) {
                await readOrCreateHolder();
            }
            return dutyConstants.verificationIntervalMilliseconds;
        }
        if (holder.name === self.name && isLeaving) {
            return dutyConstants.retryMilliseconds;
        }
        const isUnreadable = holder.name === dutyConstants.unreadableHolderName && !isLeaving;
        if (holder.name === self.name || isUnreadable || isTakeoverDue()) {
            await takeOver(holder);
            return dutyConstants.retryMilliseconds * random.next();
        }
        const wasHost = isHost();
        await renew(chooseTarget(holder));
        if (failedRenewals > 0) {
            return dutyConstants.renewalRetryMilliseconds;
        }
        if (isHost()) {
            // A VM that has just become a host needs a lease at once.
            return wasHost ? dutyConstants.renewalMilliseconds : 0;
        }
        return dutyConstants.relayedRenewalMilliseconds;
    }

    async function readOrCreateHolder(): Promise<void> {
        // A restored store may have lost the record of a holder that still acts.
        const isFirst = options.isFirstStart && known.holder() === undefined;
        const { holder, isCreated } = await readOrCreateRecord(records, self, options.directory.highestVersion().era);
        isRecordMissing = false;
        known.apply(holder, isFirst && isCreated ? Predecessor.None : Predecessor.Unknown);
    }

    /** Whether this VM holds connections to endpoints; not before it knows the other VMs of its zone. */
    function isHost(): boolean {
        return vms.isKnown() && view.isHost();
    }

    function isTakeoverDue(): boolean {
        if (isLeaving || failedRenewals < dutyConstants.maximumFailedRenewals) {
            return false;
        }
        // The holder counts other VMs as in contact while a relay hears them, so they leave the takeover to the hosts.
        const isOrdinaryVm = vms.isKnown() && !view.isHost();
        return !isOrdinaryVm || clock.now() - answeredAt >= dutyConstants.relayedTakeoverMilliseconds;
    }

    /** Chooses the VM that gets the next renewal: the next relay after each failure, and the holder after all relays. */
    function chooseTarget(holder: DutyHolder): VmIdentity {
        const targets = !vms.isKnown() || view.isHost() ? [holder] : [...view.relays(), holder];
        return targets[failedRenewals % targets.length]!;
    }

    async function renew(target: VmIdentity): Promise<void> {
        const sentAt = clock.now();
        const sinceSent = startElapsedTimer(clock);
        try {
            const renewal = createRenewal(target);
            const answer = await options.peerOf(target).renew(renewal);
            known.apply(findAnsweredHolder(known.holder()!, target, answer));
            answeredAt = sentAt;
            failedRenewals = 0;
            exchange.applyAnswer(renewal, answer, sentAt);
            contact.record(answer.holderAgeMilliseconds, sinceSent);
            holderContactAt = answer.isHolder ? sentAt : holderContactAt;
            const { isHost, announcementSequence } = renewal;
            if (answer.isHolder && answer.isCertain && isHost) {
                lease.grant(sinceSent, { holder: target.name, token: known.holder()?.token, announcementSequence });
            }
        }
        catch (error) {
            const { message: reason, kind } = toTypedError(error);
            // The queried VM answered that it is not the holder, so there is nothing to wait for.
            failedRenewals = kind === ErrorKind.Conflict ? dutyConstants.maximumFailedRenewals : failedRenewals + 1;
            log("lease renewal failed", { target: target.name, failedRenewals, reason });
        }
    }

    function createRenewal(target: VmIdentity): Renewal {
        return exchange.createRenewal(target, {
            isHost: isHost(),
            isLeaving,
            hasHeardHolder: failedRenewals === 0 && holderContactAt > -Infinity,
            token: known.holder()?.token ?? 0,
        });
    }

    /** Attempts to become the holder, unless another host is in contact with the current one. */
    async function takeOver(holder: DutyHolder): Promise<void> {
        const result = await attemptTakeover(holder);
        if (result.isHolderAlive === true) {
            failedRenewals = 0;
            return;
        }
        if (result.isRecordMissing === true) {
            await readOrCreateHolder();
            return;
        }
        known.apply(result.holder!, result.predecessor);
    }

    function answerRenewal(renewal: Renewal): RenewalAnswer {
        const isHolder = heldToken() !== undefined;
        const certainty = { isCertain: isCertain(), isOnly: verification.isCertain() };
        if (isHolder) {
            grantedLeases.recordContact(renewal.vm, certainty.isCertain && renewal.isHost);
        }
        const holderAgeMilliseconds = contact.ageMilliseconds();
        return exchange.answer(renewal, { ...certainty, isHolder, holder: known.holder(), holderAgeMilliseconds });
    }

    /** Whether this VM may grant leases: no other VM can have become the holder, and the primaries are known. */
    function isCertain(): boolean {
        return grantedLeases.isGranting() && verification.isCertain();
    }

    function hasHolderContact(token: number): boolean {
        const isRecent = clock.now() - holderContactAt < dutyConstants.holderContactMilliseconds;
        return known.holder()?.token === token && failedRenewals === 0 && isRecent;
    }

    return {
        heldToken,
        verify: verification.verify,
        otherVms: view.otherVms,
        hostVms: () => !vms.isKnown() ? unknownVms : view.hostVms(),
        isHost,
        isInContact: () => heldToken() !== undefined || failedRenewals === 0 && answeredAt > startedAt,
        isCertainHolder: verification.isCertain,
        hasLease: () => heldToken() === undefined ? lease.isHeld() : isCertain(),
        holderAgeMilliseconds: contact.ageMilliseconds,
        findCommonVersion: () => reports.findCommonVersion(options.directory.highestVersion()),
        isGranting: grantedLeases.isGranting,
        startGranting: grantedLeases.startGranting,
        ...delivery,
        answerRenewal,
        readHolder: () => readRecordedHolder(records),
        hasHolderContact,
        applyHolder: holder => known.apply(holder),
        applyAnnouncement: announcements.apply,
        leave: () => {
            isLeaving = true;
        },
        handOver,
        start: async () => void runRenewalLoop(),
        stop: async () => {
            known.release();
            end.abort();
        },
    };
}
