import type { DisseminationService } from "../../dissemination/types/DisseminationService.js";
import { RecordKind } from "../../dissemination/types/RecordKind.js";
import { configurationConstants } from "../constants.js";
import type { VersionRecord } from "../types/VersionRecord.js";

/**
 * Announces a version to all gateways.
 *
 * The keys are a fixed number of slots, so that dissemination keeps the latest versions only. A large patch is
 * announced without its text; gateways pull it from each other.
 *
 * @param dissemination Spreads the announcement.
 * @param version The version that came into force here.
 * @param record Its record; left out when the version was taken over as a whole.
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
