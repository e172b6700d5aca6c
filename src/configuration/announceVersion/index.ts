import type { DisseminationService } from "../../dissemination/types/DisseminationService.js";
import { RecordKind } from "../../dissemination/types/RecordKind.js";
import { configurationConstants } from "../constants.js";
import type { VersionRecord } from "../types/VersionRecord.js";

/**
 * Announces a version to all gateways.
 *
 * The keys are a fixed number of slots, so that dissemination keeps only the latest versions. A large record is
 * left out of the announcement; gateways pull it from each other.
 *
 * @param dissemination Service that distributes the announcement.
 * @param version The version that came into force in this process.
 * @param record The version's record; undefined if the version was restored from a snapshot.
 *
 * @example
 * announceVersion(dissemination, 8, record);
 */
export function announceVersion(
    dissemination: DisseminationService,
    version: number,
    record: VersionRecord | undefined,
): void {
    const value = record === undefined ? { version } : { version, record };
    const isSmall = Buffer.byteLength(JSON.stringify(value)) <= configurationConstants.maximumDisseminatedBytes;
    dissemination.publish({
        kind: RecordKind.ConfigurationVersion,
        key: String(version % configurationConstants.disseminationSlots),
        stamp: version,
        value: isSmall ? value : { version },
    });
}
