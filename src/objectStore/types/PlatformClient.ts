import type { StoredObject } from "./StoredObject.js";
import type { VmRecord } from "./VmRecord.js";

/**
 * Client of the platform's object store and VM list. Each call counts towards the platform's rate limits; an open
 * watch counts as one call.
 *
 * Every call may fail with `PlatformUnavailable` (nothing was written). Writes may also fail with `OutcomeUnknown`
 * (the answer was lost; read the object to find the outcome) or with `Conflict`.
 */
export interface PlatformClient {
    readObject(key: string): Promise<StoredObject | undefined>;
    /** Lists objects whose key starts with the prefix, sorted by key, after `afterKey` when given, at most 1,000. */
    listObjects(prefix: string, afterKey?: string): Promise<StoredObject[]>;
    /** Creates the object; fails with `Conflict` if it exists. */
    createObject(key: string, value: unknown): Promise<StoredObject>;
    /** Updates the object; fails with `Conflict` if its version is not the expected one. */
    updateObject(key: string, value: unknown, expectedVersion: number): Promise<StoredObject>;
    /**
     * Yields objects under the prefix as they change; intermediate versions may be skipped. Throws when the watch is
     * interrupted. With `afterKey`, it first yields the existing objects after that key; no change is missed.
     */
    watchObjects(prefix: string, signal: AbortSignal, afterKey?: string): AsyncGenerator<StoredObject>;
    /** The platform's list of VMs, which lags behind the actual state. */
    listVms(): Promise<VmRecord[]>;
}
