import { startElapsedTimer } from "../../clock/startElapsedTimer/index.js";
import type { Clock } from "../../clock/types/Clock.js";
import type { RecordStore } from "../../directory/types/RecordStore.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { dutyConstants } from "../constants.js";
import { readRecordedHolder } from "../readRecordedHolder/index.js";
import type { DutyHolder } from "../types/DutyHolder.js";
import type { FleetView } from "../types/FleetView.js";
import type { HolderContact } from "../types/HolderContact.js";
import type { VmIdentity } from "../types/VmIdentity.js";
import type { VmList } from "../types/VmList.js";
import type { VmPeer } from "../types/VmPeer.js";

/** Options of `createHolderVerification`. */
interface HolderVerificationOptions {
    readonly clock: Clock;
    readonly records: Pick<RecordStore, "read">;
    /** This VM. */
    readonly self: VmIdentity;
    readonly vms: Pick<VmList, "isHolderInContactWithAll" | "lastContactAt">;
    readonly view: Pick<FleetView, "hostVms">;
    readonly peerOf: (vm: VmIdentity) => VmPeer;
    /** Records each successful verification. */
    readonly contact: Pick<HolderContact, "record">;
    /** Token of this VM while it is the holder. */
    readonly heldToken: () => number | undefined;
    /** Applies the holder that the store records. */
    readonly applyHolder: (holder: DutyHolder) => void;
    /** Called when the store has no record of a holder. */
    readonly onRecordMissing: () => void;
    readonly log: LogTopic;
}

/** Verifies that this VM is still the holder of the failover duty. */
interface HolderVerification {
    /** Records that this VM replaces another holder; it may not know all VMs yet. */
    startHolding(): void;
    /** Returns the token, or undefined when this VM is not the holder or this could not be verified. */
    verify(): Promise<number | undefined>;
    /** Whether no other VM can have become the holder and changed a primary. */
    isCertain(): boolean;
    /** Whether all other VMs had recent contact with this one, so that none of them can have become the holder. */
    isInContactWithAll(): boolean;
}

/**
 * Creates the verification of the holder by its record in the store.
 *
 * When the store does not answer this VM, other VMs read the record for it, because the store may refuse single VMs.
 * When it answers none of them, recent contact with all other VMs is enough: none of them can then have replaced the
 * holder. This counts once the holder must know all VMs.
 *
 * @param options Clock, store, other VMs, and the holder known to this VM.
 * @returns The verification.
 *
 * @example
 * const token = await verification.verify();
 */
export function createHolderVerification(options: HolderVerificationOptions): HolderVerification {
    const { clock, self, vms, heldToken, log } = options;
    let verifiedAt = -Infinity;
    let sinceVerification = (): number => Infinity;
    /** When this VM replaced another holder; a holder that replaced none knows all VMs that ever called one. */
    let tookOverAt = -Infinity;
    let isStoreAnswering = true;
    let wasCertain = false;

    function isInContactWithAll(): boolean {
        // The times of contact do not count a suspension of this VM.
        const suspendedMilliseconds = sinceVerification() - (clock.now() - verifiedAt);
        return verifiedAt >= tookOverAt + dutyConstants.completeListMilliseconds
            && suspendedMilliseconds < dutyConstants.contactWithAllMilliseconds
            && vms.isHolderInContactWithAll(dutyConstants.contactWithAllMilliseconds);
    }

    async function readOwn(): Promise<DutyHolder | undefined> {
        try {
            const holder = await readRecordedHolder(options.records);
            isStoreAnswering = true;
            return holder;
        }
        catch (error) {
            isStoreAnswering = false;
            throw error;
        }
    }

    /** Has some of the hosts that called this VM last read the record. */
    function readThroughOthers(): Promise<DutyHolder | undefined> {
        const contactAt = ({ name }: VmIdentity): number => vms.lastContactAt(name) ?? -Infinity;
        const others = options.view.hostVms()
            .filter(({ name }) => name !== self.name)
            .sort((left, right) => contactAt(right) - contactAt(left))
            .slice(0, dutyConstants.maximumRecordReaders);
        return Promise.any(others.map(vm => options.peerOf(vm).readHolder()));
    }

    /** Reads the record; asks the other VMs at once while the store does not answer this one. */
    async function readHolder(): Promise<DutyHolder | undefined> {
        if (isStoreAnswering) {
            return await readOwn().catch(readThroughOthers);
        }
        return await Promise.any([readOwn(), readThroughOthers()]);
    }

    async function verify(): Promise<number | undefined> {
        const requestedAt = clock.now();
        const sinceRequest = startElapsedTimer(clock);
        let holder: DutyHolder | undefined;
        try {
            holder = await readHolder();
        }
        catch (error) {
            const hasContact = isInContactWithAll();
            log("holder not verified in the store", {
                isInContactWithAll: hasContact,
                reason: (error as Error).message,
            });
            return hasContact ? confirm(heldToken(), sinceRequest) : undefined;
        }
        if (holder === undefined) {
            log("record of the holder is missing from the store", { token: heldToken() });
            options.onRecordMissing();
            return undefined;
        }
        options.applyHolder(holder);
        // The store may have answered from before it was restored, and another VM may have read it before this one.
        if (holder.token !== heldToken()) {
            log("store records another holder than this VM", { ...holder, heldToken: heldToken() });
            return undefined;
        }
        verifiedAt = requestedAt;
        sinceVerification = sinceRequest;
        return confirm(holder.token, sinceRequest);
    }

    /** Records that this VM is still the holder, and returns the token. */
    function confirm(token: number | undefined, sinceRequest: () => number): number | undefined {
        options.contact.record(0, sinceRequest);
        return token;
    }

    function isCertain(): boolean {
        const isVerified = sinceVerification() < dutyConstants.verifiedMilliseconds;
        const isCertainNow = heldToken() !== undefined && (isVerified || isInContactWithAll());
        if (isCertainNow !== wasCertain) {
            wasCertain = isCertainNow;
            log("certainty of the holder has changed", { isCertain: isCertainNow, isVerified, token: heldToken() });
        }
        return isCertainNow;
    }

    return {
        startHolding: () => {
            verifiedAt = -Infinity;
            sinceVerification = () => Infinity;
            tookOverAt = clock.now();
        },
        verify,
        isCertain,
        isInContactWithAll,
    };
}
