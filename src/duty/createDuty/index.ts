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
    /** How recent the directory is. */
    readonly news: StoreFreshness;
    /** This VM. */
    readonly self: VmIdentity;
    /** Calls another VM. */
    readonly peerOf: (vm: VmIdentity) => VmPeer;
    /** Told of each new announcement. */
    readonly onAnnouncement: (announcement: Announcement) => void;
    readonly log: LogTopic;
}

/**
 * Creates a VM's part in deciding which VM may change primaries.
 *
 * One object of the store names the holder; whoever replaces it at its revision becomes the holder with a higher token.
 * Every VM speaks with the holder several times a second. One that is not answered any more, and finds no other VM
 * that is, takes over. The holder needs no renewal in the store; it verifies itself before each order.
 *
 * @param options Clock, the store, this VM and how to call others.
 * @returns The duty, not yet started.
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
    let known: DutyHolder | undefined;
    let heardAt = -Infinity;
    const lease = createLease(clock);
    let tookOverAt = -Infinity;
    let verifiedAt = -Infinity;
    let failedRenewals = 0;
    let isStopping = false;

    function heldToken(): number | undefined {
        const isHeld = known !== undefined && known.incarnation === self.incarnation && !isStopping;
        return isHeld ? known!.token : undefined;
    }

    function adopt(holder: DutyHolder): void {
        if (known !== undefined && holder.token < known.token) {
            return;
        }
        const isSame = known?.token === holder.token;
        known = holder;
        if (!isSame) {
            log("holder of the failover duty", {
                holder: holder.name,
                token: holder.token,
                isSelf: heldToken() !== undefined,
            });
            failedRenewals = 0;
            tookOverAt = clock.now();
            announcements.startToken(holder.token);
        }
    }

    function adoptRecord(record: VersionedRecord): void {
        adopt(record.content as DutyHolder);
    }

    async function runRenewals(): Promise<void> {
        await clock.sleep(random.next() * dutyConstants.startSpreadMilliseconds, end.signal);
        while (!end.signal.aborted) {
            const pause = await takeStep().catch((error: unknown) => {
                log("store does not tell the holder", { reason: (error as Error).message });
                return dutyConstants.retryMilliseconds;
            });
            await clock.sleep(pause, end.signal);
        }
    }

    /** Returns the pause before the next step. */
    async function takeStep(): Promise<number> {
        if (known === undefined) {
            await findHolder();
            return 0;
        }
        if (heldToken() !== undefined) {
            await verify();
            return dutyConstants.verificationMilliseconds;
        }
        if (known.name === self.name || failedRenewals >= dutyConstants.failedRenewals) {
            await contend();
            return dutyConstants.retryMilliseconds * random.next();
        }
        await renew(known);
        return failedRenewals === 0 ? dutyConstants.renewalMilliseconds : dutyConstants.renewalRetryMilliseconds;
    }

    async function findHolder(): Promise<void> {
        const record = await records.read(dutyConstants.recordName);
        adoptRecord(record ?? await records.create(dutyConstants.recordName, { ...self, token: 1 }));
    }

    async function renew(holder: DutyHolder): Promise<void> {
        const sentAt = clock.now();
        try {
            lease.prepare();
            const answer = await options.peerOf(holder).renew(
                exchange.createRenewal(failedRenewals === 0 && heardAt > -Infinity),
            );
            if (!answer.isHolder || answer.token < holder.token) {
                failedRenewals = dutyConstants.failedRenewals;
                throw new Error("that VM is no longer the holder");
            }
            heardAt = sentAt;
            failedRenewals = 0;
            exchange.learn(answer, sentAt);
            if (answer.isCertain) {
                lease.grant();
            }
        }
        catch (error) {
            failedRenewals += 1;
            log("holder was not heard", { holder: holder.name, failedRenewals, reason: (error as Error).message });
        }
    }

    /** Tries to become the holder, unless another VM hears the present one. */
    async function contend(): Promise<void> {
        const holder = known!;
        await clock.sleep(rank() * dutyConstants.rankMilliseconds, end.signal);
        const record = await records.read(dutyConstants.recordName);
        if (record === undefined) {
            await findHolder();
            return;
        }
        if ((record.content as DutyHolder).token > holder.token) {
            adoptRecord(record);
            return;
        }
        const heardBy = holder.name === self.name ? undefined : await findWitness(holder);
        if (heardBy !== undefined) {
            log("another VM hears the holder", { holder: holder.name, vm: heardBy });
            failedRenewals = 0;
            return;
        }
        log("takes over the failover duty", { from: holder.name, token: holder.token + 1, failedRenewals });
        const next = await records.replace(
            dutyConstants.recordName,
            { ...self, token: holder.token + 1 },
            record.revision,
        );
        adoptRecord(next);
        introduce();
    }

    function rank(): number {
        const names = otherVms().map(vm => vm.name).filter(name => name !== known?.name);
        return names.filter(name => name < self.name).length;
    }

    async function findWitness(holder: DutyHolder): Promise<string | undefined> {
        const others = otherVms().filter(vm => vm.name !== holder.name);
        const heard = await Promise.all(others.map(async vm => {
            const hasHeard = await options.peerOf(vm).askHeard(holder.token).catch(() => false);
            return hasHeard ? vm.name : undefined;
        }));
        return heard.find(name => name !== undefined);
    }

    function introduce(): void {
        for (const vm of otherVms()) {
            options.peerOf(vm).introduceHolder(known!).catch((error: unknown) => {
                log("VM was not told of the new holder", { vm: vm.name, reason: (error as Error).message });
            });
        }
    }

    async function verify(): Promise<number | undefined> {
        const askedAt = clock.now();
        try {
            const record = await records.read(dutyConstants.recordName);
            if (record !== undefined) {
                adoptRecord(record);
            }
            if (heldToken() !== undefined) {
                verifiedAt = askedAt;
            }
            return heldToken();
        }
        catch (error) {
            // While all VMs hear this one, none has taken its place, and it may go on without the store.
            const isAttended = vms.areAllAttending(dutyConstants.attendanceMilliseconds);
            log("store does not confirm the holder", { isAttended, reason: (error as Error).message });
            return isAttended ? heldToken() : undefined;
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
        const { certaintyMilliseconds, attendanceMilliseconds } = dutyConstants;
        const now = clock.now();
        return now - verifiedAt < certaintyMilliseconds || vms.areAllAttending(attendanceMilliseconds);
    }

    async function waitForLeases(unconfirmed: readonly VmIdentity[]): Promise<void> {
        if (unconfirmed.length === 0) {
            return;
        }
        const { leaseMilliseconds, certaintyMilliseconds } = dutyConstants;
        const endOfLease = ({ name }: VmIdentity): number => {
            const spokeAt = vms.heardAt(name) ?? -Infinity;
            // A VM that has not spoken with this holder may hold a lease of the one before.
            const grantedAt = spokeAt > tookOverAt ? spokeAt : tookOverAt + certaintyMilliseconds;
            return grantedAt + leaseMilliseconds;
        };
        const until = Math.max(...unconfirmed.map(endOfLease));
        log("waits for leases to end", { vms: unconfirmed.map(({ name }) => name), milliseconds: until - clock.now() });
        await clock.sleep(Math.max(until - clock.now(), 0));
    }

    function answerRenewal(renewal: Renewal): RenewalAnswer {
        vms.note(self, true);
        vms.note(renewal.vm, renewal.hasHeardHolder);
        return exchange.answer(renewal, {
            isHolder: heldToken() !== undefined,
            isCertain: isCertain(),
            token: known?.token ?? 0,
        });
    }

    function answerHeard(token: number): boolean {
        return known?.token === token
            && failedRenewals === 0
            && clock.now() - heardAt < dutyConstants.hearsayMilliseconds;
    }

    return {
        heldToken,
        verify,
        otherVms,
        hasLease: () => heldToken() === undefined ? lease.isHeld() : isCertain(),
        waitForLeases,
        announce,
        answerRenewal,
        answerHeard,
        learnHolder: adopt,
        learnAnnouncement: announcements.learn,
        start: async () => void runRenewals(),
        stop: async () => {
            isStopping = true;
            end.abort();
        },
    };
}
