import { compareReports } from "../compareReports/index.js";
import { compareStoreVersions } from "../compareStoreVersions/index.js";
import type { EndpointRecord } from "../types/EndpointRecord.js";

/**
 * Merges two records of one endpoint: the newer report, at the newer version of the store.
 *
 * During an era of the store the later version holds the newer report. A restored store may hold an older one than it did
 * before, so the endpoint's own order decides between eras.
 *
 * @param left A record.
 * @param right Another record of the same endpoint.
 * @returns The merged record; `left` itself when `right` adds nothing.
 *
 * @example
 * const merged = mergeEndpointRecords(known, received);
 */
export function mergeEndpointRecords(left: EndpointRecord, right: EndpointRecord): EndpointRecord {
    const versionOrder = compareStoreVersions(right, left);
    const reportOrder = compareReports(right, left);
    const isRightNewer = left.era === right.era
        ? versionOrder > 0 || (versionOrder === 0 && reportOrder > 0)
        : reportOrder > 0 || (reportOrder === 0 && versionOrder > 0);
    const report = isRightNewer ? right : left;
    const { era, revision } = versionOrder > 0 ? right : left;
    return report === left && versionOrder <= 0 ? left : { ...report, era, revision };
}
