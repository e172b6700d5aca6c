import type { Clock } from "../../clock/types/Clock.js";
import type { Directory } from "../../directory/types/Directory.js";
import type { RecordStore } from "../../directory/types/RecordStore.js";
import type { StoreFreshness } from "../../directory/types/StoreFreshness.js";
import type { VersionedRecord } from "../../directory/types/VersionedRecord.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import type { RandomSource } from "../../random/types/RandomSource.js";
import { dutyConstants } from "../constants.js";
import { createAnnouncements } from "../createAnnouncements/index.js";
import { createLease } from "../createLease/index.js";
import { createRenewalExchange } from "../createRenewalExchange/index.js";
import { createVmList } from "../createVmList/index.js";
import type { Announcement } from "../types/Announcement.js";
import type { Duty } from "../types/Duty.js";
import type { DutyHolder } from "../types/DutyHolder.js";
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
    /** Returns the client for calls to another VM. */
    readonly peerOf: (vm: VmIdentity) => VmPeer;
    /** Called with each new announcement. */
    readonly onAnnouncement: (announcement: Announcement) => void;
    readonly log: LogTopic;
}

/**
 * Creates a VM's part in the failover duty: its holder is the only VM that may change primaries.
 *
 * One object of the store records the holder; a VM that replaces it at its revision is the holder with a higher token.
 * Every VM sends the holder several renewals a second. A VM whose renewals are not answered, and that finds no other VM
 * in contact with the holder, takes over. The holder renews nothing in the store; it verifies itself before each order.
 *
 * @param options Clock, store, this VM and clients for calls to other VMs.
 * @returns The duty, not started yet.
 *
 * @example
 * if (duty.heldToken() !== undefined) { await changePrimary(group); }
 */
export function createDuty(options: DutyOptions): Duty {
    const { clock, random, records, self, log } = options;
    const vms = createVmList(clock);
    const announcements = createAnnouncements(options.onAnnouncement);
    const exchange = createRenewalExchange({ ...options, vms, announcements });
    const end = new AbortController();
    let knownHolder: DutyHolder | undefined;
    let holderContactAt = -Infinity;
    const lease = createLease(clock);
    let holderChangedAt = -Infinity;
    let verifiedAt = -Infinity;
    let failedRenewals = 0;
    let isStopping = false;

    function heldToken(): number | undefined {
        const isHeld = knownHolder !== undefined && knownHolder.incarnation === self.incarnation && !isStopping;
        return isHeld ? knownHolder!.token : undefined;
    }

    function applyHolder(holder: DutyHolder): void {
        if (knownHolder !== undefined && holder.token < knownHolder.token) {
            return;
        }
        const isSame = knownHolder?.token === holder.token;
        knownHolder = holder;
        if (!isSame) {
            log("failover duty has a new holder", {
                holder: holder.name,
                token: holder.token,
                isSelf: heldToken() !== undefined,
            });
            failedRenewals = 0;
            holderChangedAt = clock.now();
            announcements.startToken(holder.token);
        }
    }

    function applyRecord(record: VersionedRecord): void {
        applyHolder(record.content as DutyHolder);
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
        if (knownHolder === undefined) {
            await readOrCreateHolder();
            return 0;
        }
        if (heldToken() !== undefined) {
            await verify();
            return dutyConstants.verificationIntervalMilliseconds;
        }
        if (knownHolder.name === self.name || failedRenewals >= dutyConstants.maximumFailedRenewals) {
            await attemptTakeover();
            return dutyConstants.retryMilliseconds * random.next();
        }
        await renew(knownHolder);
        return failedRenewals === 0 ? dutyConstants.renewalMilliseconds : dutyConstants.renewalRetryMilliseconds;
    }

    async function readOrCreateHolder(): Promise<void> {
        const record = await records.read(dutyConstants.recordName);
        applyRecord(record ?? await records.create(dutyConstants.recordName, { ...self, token: 1 }));
    }

    async function renew(holder: DutyHolder): Promise<void> {
        const sentAt = clock.now();
        try {
            lease.prepare();
            const answer = await options.peerOf(holder).renew(
                exchange.createRenewal(failedRenewals === 0 && holderContactAt > -Infinity),
            );
            if (!answer.isHolder || answer.token < holder.token) {
                failedRenewals = dutyConstants.maximumFailedRenewals;
                throw new Error("the queried VM is no longer the holder");
            }
            holderContactAt = sentAt;
            failedRenewals = 0;
            exchange.applyAnswer(answer, sentAt);
            if (answer.isCertain) {
                lease.grant();
            }
        }
        catch (error) {
            failedRenewals += 1;
            log("lease renewal failed", { holder: holder.name, failedRenewals, reason: (error as Error).message });
        }
    }

    /** Attempts to become the holder, unless another VM is in contact with the current one. */
    async function attemptTakeover(): Promise<void> {
        const holder = knownHolder!;
        await clock.sleep(rank() * dutyConstants.rankDelayMilliseconds, end.signal);
        const record = await records.read(dutyConstants.recordName);
        if (record === undefined) {
            await readOrCreateHolder();
            return;
        }
        if ((record.content as DutyHolder).token > holder.token) {
            applyRecord(record);
            return;
        }
        const vmInContact = holder.name === self.name ? undefined : await findVmInContact(holder);
        if (vmInContact !== undefined) {
            log("another VM is in contact with the holder; no takeover", { holder: holder.name, vm: vmInContact });
            failedRenewals = 0;
            return;
        }
        log("attempts to take over the failover duty", { from: holder.name, token: holder.token + 1, failedRenewals });
        const next = await records.replace(
            dutyConstants.recordName,
            { ...self, token: holder.token + 1 },
            record.revision,
        );
        applyRecord(next);
        notifyOfTakeover();
    }

    function rank(): number {
        const names = otherVms().map(vm => vm.name).filter(name => name !== knownHolder?.name);
        return names.filter(name => name < self.name).length;
    }

    async function findVmInContact(holder: DutyHolder): Promise<string | undefined> {
        const others = otherVms().filter(vm => vm.name !== holder.name);
        const inContact = await Promise.all(others.map(async vm => {
            const hasContact = await options.peerOf(vm).queryHolderContact(holder.token).catch(() => false);
            return hasContact ? vm.name : undefined;
        }));
        return inContact.find(name => name !== undefined);
    }

    function notifyOfTakeover(): void {
        for (const vm of otherVms()) {
            options.peerOf(vm).notifyOfHolder(knownHolder!).catch((error: unknown) => {
                log("VM could not be notified of the new holder", { vm: vm.name, reason: (error as Error).message });
            });
        }
    }

    async function verify(): Promise<number | undefined> {
        const requestedAt = clock.now();
        try {
            const record = await records.read(dutyConstants.recordName);
            if (record !== undefined) {
                applyRecord(record);
            }
            if (heldToken() !== undefined) {
                verifiedAt = requestedAt;
            }
            return heldToken();
        }
        catch (error) {
            // While all VMs are in contact with this holder, none has replaced it, and the store is not needed.
            const isInContactWithAll = vms.isHolderInContactWithAll(dutyConstants.contactWithAllMilliseconds);
            log("holder not verified in the store", { isInContactWithAll, reason: (error as Error).message });
            return isInContactWithAll ? heldToken() : undefined;
        }
    }

    function otherVms(): readonly VmIdentity[] {
        return vms.list().filter(vm => vm.name !== self.name);
    }

    async function announce(announcement: Omit<Announcement, "sequence">): Promise<readonly VmIdentity[]> {
        const numbered = announcements.create(announcement);
        const others = otherVms();
        const confirmed = await Promise.all(others.map(async vm => {
            try {
                await options.peerOf(vm).announce(numbered);
                return true;
            }
            catch (error) {
                log("announcement was not confirmed", { vm: vm.name, reason: (error as Error).message });
                return false;
            }
        }));
        return others.filter((_vm, index) => !confirmed[index]);
    }

    /** Whether no other VM can have become the holder and changed a primary. */
    function isCertain(): boolean {
        if (heldToken() === undefined) {
            return false;
        }
        const { verifiedMilliseconds, contactWithAllMilliseconds } = dutyConstants;
        const now = clock.now();
        return now - verifiedAt < verifiedMilliseconds || vms.isHolderInContactWithAll(contactWithAllMilliseconds);
    }

    async function waitForLeases(unconfirmed: readonly VmIdentity[]): Promise<void> {
        if (unconfirmed.length === 0) {
            return;
        }
        const { leaseMilliseconds, verifiedMilliseconds } = dutyConstants;
        const endOfLease = ({ name }: VmIdentity): number => {
            const lastContactAt = vms.lastContactAt(name) ?? -Infinity;
            // A VM without contact since this holder took over may hold a lease granted by the previous holder.
            const grantedAt = lastContactAt > holderChangedAt ? lastContactAt : holderChangedAt + verifiedMilliseconds;
            return grantedAt + leaseMilliseconds;
        };
        const until = Math.max(...unconfirmed.map(endOfLease));
        log("waits for leases to end", { vms: unconfirmed.map(({ name }) => name), milliseconds: until - clock.now() });
        await clock.sleep(Math.max(until - clock.now(), 0));
    }

    function answerRenewal(renewal: Renewal): RenewalAnswer {
        vms.recordContact(self, true);
        vms.recordContact(renewal.vm, renewal.hasHeardHolder);
        return exchange.answer(renewal, {
            isHolder: heldToken() !== undefined,
            isCertain: isCertain(),
            token: knownHolder?.token ?? 0,
        });
    }

    function hasHolderContact(token: number): boolean {
        return knownHolder?.token === token
            && failedRenewals === 0
            && clock.now() - holderContactAt < dutyConstants.holderContactMilliseconds;
    }

    return {
        heldToken,
        verify,
        otherVms,
        hasLease: () => heldToken() === undefined ? lease.isHeld() : isCertain(),
        waitForLeases,
        announce,
        answerRenewal,
        hasHolderContact,
        applyHolder,
        applyAnnouncement: announcements.apply,
        start: async () => void runRenewalLoop(),
        stop: async () => {
            isStopping = true;
            end.abort();
        },
    };
}
