import type { StoreVersion } from "./StoreVersion.js";

/**
 * One of tarragonpost's own objects in the platform's store. Its version changes with each update; a conditional update
 * requires its revision.
 */
export interface VersionedRecord extends StoreVersion {
    readonly content: unknown;
}
