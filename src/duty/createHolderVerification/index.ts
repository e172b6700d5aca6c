import type { Clock } from "../../clock/types/Clock.js";
import type { RecordStore } from "../../directory/types/RecordStore.js";
import type { LogTopic } from "../../logging/types/LogTopic.js";
import { dutyConstants } from "../constants.js";
import type { DutyHolder } from "../types/DutyHolder.js";
import type { VmList } from "../types/VmList.js";

/** Options of `createHolderVerification`. */
interface HolderVerificationOptions {
    readonly clock: Clock;
    readonly records: Pick<RecordStore, "read">;
    readonly vms: Pick<VmList, "isHolderInContactWithAll">;
    /** Token of this VM while it is the holder. */
    readonly heldToken: () => number | undefined;
    /** Applies the holder that the store records. */
    readonly applyHolder: (holder: DutyHolder) => void;
    readonly log: LogTopic;
}

/** Verifies that this VM is still the holder of the failover duty. */
interface HolderVerification {
    /** Returns the token, or undefined when this VM is not the holder or this could not be verified. */
    verify(): Promise<number | undefined>;
    /** Whether no other VM can have become the holder and changed a primary. */
    isCertain(): boolean;
}

/**
 * Creates the verification of the holder: by its record in the store, or, while the store does not answer, by recent
 * contact with all other VMs, none of which can then have replaced it.
 *
 * @param options Clock, store, the list of VMs, and the holder known to this VM.
 * @returns The verification.
 *
 * @example
 * const token = await verification.verify();
 */
export function createHolderVerification(options: HolderVerificationOptions): HolderVerification {
    const { clock, heldToken, log } = options;
    let verifiedAt = -Infinity;

    function isInContactWithAll(): boolean {
        return options.vms.isHolderInContactWithAll(dutyConstants.contactWithAllMilliseconds);
    }

    async function verify(): Promise<number | undefined> {
        const requestedAt = clock.now();
        try {
            const record = await options.records.read(dutyConstants.recordName);
            if (record !== undefined) {
                options.applyHolder(record.content as DutyHolder);
            }
            if (heldToken() !== undefined) {
                verifiedAt = requestedAt;
            }
            return heldToken();
        }
        catch (error) {
            const hasContact = isInContactWithAll();
            log("holder not verified in the store", {
                isInContactWithAll: hasContact,
                reason: (error as Error).message,
            });
            return hasContact ? heldToken() : undefined;
        }
    }

    function isCertain(): boolean {
        const isVerified = clock.now() - verifiedAt < dutyConstants.verifiedMilliseconds;
        return heldToken() !== undefined && (isVerified || isInContactWithAll());
    }

    return { verify, isCertain };
}
