import type { StoreVersion } from "../types/StoreVersion.js";

/**
 * Compares two versions of the platform's store. Everything that was read in a later era of the store is newer than what
 * was read in an earlier one.
 *
 * @param left A version.
 * @param right Another version.
 * @returns A positive number if `left` is newer, a negative number if it is older, 0 if they are the same.
 *
 * @example
 * const isNewer = compareStoreVersions(record, known) > 0;
 */
export function compareStoreVersions(left: StoreVersion, right: StoreVersion): number {
    return left.era - right.era || left.revision - right.revision;
}
