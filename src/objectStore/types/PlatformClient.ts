import type { StoredObject } from "./StoredObject.js";
import type { VmRecord } from "./VmRecord.js";

/**
 * The platform's service. Each call counts against its rates, a waiting watch as one.
 *
 * Every call may fail with `PlatformUnavailable` (nothing was written). Writes may also fail with `OutcomeUnknown`
 * (the answer was lost; read the object to learn the outcome) or with `Conflict`.
 */
export interface PlatformClient {
    readObject(key: string): Promise<StoredObject | undefined>;
    /** Lists objects whose key starts with the prefix, sorted by key, after `afterKey` when given, at most 1,000. */
    listObjects(prefix: string, afterKey?: string): Promise<StoredObject[]>;
    /** Creates the object if it is absent; `Conflict` otherwise. */
    createObject(key: string, value: unknown): Promise<StoredObject>;
    /** Updates the object if its version is the expected one; `Conflict` otherwise. */
    updateObject(key: string, value: unknown, expectedVersion: number): Promise<StoredObject>;
    /**
     * Yields objects under the prefix as they change; may skip intermediate versions; ends by throwing when cut.
     * With `afterKey` it first yields the present objects after that key, so that no change is missed in between.
     */
    watchObjects(prefix: string, signal: AbortSignal, afterKey?: string): AsyncGenerator<StoredObject>;
    /** The platform's list of VMs; it lags behind the truth. */
    listVms(): Promise<VmRecord[]>;
}
