import type { Clock } from "../../clock/types/Clock.js";
import { compareStoreVersions } from "../../directory/compareStoreVersions/index.js";
import type { StoreVersion } from "../../directory/types/StoreVersion.js";
import { dutyConstants } from "../constants.js";
import type { ReportedVersions } from "../types/ReportedVersions.js";

/** The last report of a VM. */
interface Report {
    readonly version: StoreVersion;
    readonly reportedAt: number;
}

/**
 * Creates the record of what VMs reported of their directories to the holder of the failover duty.
 *
 * A VM that was not heard of for a while verifies no primary by itself any more, so it counts no longer. Those that
 * reported to an earlier holder are not known to a new one, which waits for the same while.
 *
 * @param clock Source of time.
 * @returns The record, empty.
 *
 * @example
 * reports.record(renewal.vm, renewal.endpointVersion, renewal.membersVersion);
 * reports.findCommonVersion(directory.highestVersion()); // => { era: 1, revision: 207 }
 */
export function createReportedVersions(clock: Clock): ReportedVersions {
    /** Reports of the newest process of each VM. */
    const reportsByName = new Map<string, Report>();
    /** Reports of the members of each process that answers renewals; its members outlive it. */
    const memberReportsByIncarnation = new Map<string, Report>();
    let isCompleteFrom = -Infinity;

    function dropSilent(reports: Map<string, Report>): void {
        const now = clock.now();
        for (const [key, { reportedAt }] of reports) {
            if (now - reportedAt >= dutyConstants.forgottenMilliseconds) {
                reports.delete(key);
            }
        }
    }

    return {
        startHolding: () => {
            reportsByName.clear();
            memberReportsByIncarnation.clear();
            isCompleteFrom = clock.now() + dutyConstants.forgottenMilliseconds;
        },
        record: ({ name, incarnation }, version, membersVersion) => {
            const reportedAt = clock.now();
            reportsByName.set(name, { version, reportedAt });
            if (membersVersion !== undefined) {
                memberReportsByIncarnation.set(incarnation, { version: membersVersion, reportedAt });
            }
        },
        findCommonVersion: ownVersion => {
            if (clock.now() < isCompleteFrom) {
                return undefined;
            }
            dropSilent(reportsByName);
            dropSilent(memberReportsByIncarnation);
            const reports = [...reportsByName.values(), ...memberReportsByIncarnation.values()];
            const ownVersions = ownVersion === undefined ? [] : [ownVersion];
            return [...ownVersions, ...reports.map(({ version }) => version)].sort(compareStoreVersions)[0];
        },
    };
}
