import type { HolderContact } from "../types/HolderContact.js";

/**
 * Creates the record of a VM's last contact with the holder of the failover duty. A suspension of the VM counts.
 *
 * @returns The record, without any contact.
 *
 * @example
 * contact.record(answer.holderAgeMilliseconds, sinceSent);
 * contact.ageMilliseconds(); // => 412
 */
export function createHolderContact(): HolderContact {
    let age: (() => number) | undefined;

    return {
        record: (ageMilliseconds, sinceCall) => {
            if (ageMilliseconds !== undefined && ageMilliseconds + sinceCall() < (age?.() ?? Infinity)) {
                age = () => ageMilliseconds + sinceCall();
            }
        },
        ageMilliseconds: () => age?.(),
    };
}
