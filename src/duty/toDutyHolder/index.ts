import type { VersionedRecord } from "../../directory/types/VersionedRecord.js";
import { createError } from "../../errors/createError/index.js";
import { ErrorKind } from "../../errors/types/ErrorKind.js";
import { dutyConstants } from "../constants.js";
import { dutySchemas } from "../dutySchemas.js";
import type { DutyHolder } from "../types/DutyHolder.js";
import type { RecordedHolder } from "../types/RecordedHolder.js";

/** Stands for the content of a record that another writer has made unreadable; no VM has this name. */
const unreadableHolder: RecordedHolder = {
    name: dutyConstants.unreadableHolderName,
    address: { host: "", port: 0, availabilityZone: "" },
    capacity: 1,
    incarnation: "",
};

/**
 * Reads the holder of the failover duty from its record. The fencing token is the version of the record, which the store
 * never assigns twice, also when it is restored from a copy.
 *
 * @param record The record, with the version of the store at which it was written or restored.
 * @returns The holder with its token; one that no VM is when the content is not a holder's.
 * @throws TarragonpostError of kind `PlatformUnavailable` when the version is too high for a token.
 *
 * @example
 * const { token } = toDutyHolder(await records.replace(recordName, self, revision));
 */
export function toDutyHolder({ content, era, revision }: VersionedRecord): DutyHolder {
    const { name, address, capacity, incarnation, writtenInEra, isHandedOver } = dutySchemas.recordedHolder
        .safeParse(content).data ?? unreadableHolder;
    const token = era * dutyConstants.revisionsPerEra + revision;
    if (revision >= dutyConstants.revisionsPerEra || !Number.isSafeInteger(token)) {
        throw createError(
            ErrorKind.PlatformUnavailable,
            `Version ${era}.${revision} of the store is too high for a fencing token.`,
            { remedy: "Set up a new store." },
        );
    }
    const holder = { name, address, capacity, incarnation, token };
    // In a restored store, others may have held the duty since the record was written.
    return isHandedOver === true && writtenInEra === era ? { ...holder, isHandedOver } : holder;
}
